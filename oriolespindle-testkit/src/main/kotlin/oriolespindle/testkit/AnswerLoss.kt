package oriolespindle.testkit

import kotlinx.serialization.Serializable
import java.util.SplittableRandom

/**
 * Says which answers are lost after their change took effect: the first [next], then each one with [probability].
 *
 * @throws IllegalArgumentException if [probability] is not between 0 and 1.
 */
@Serializable
public data class AnswerLoss(
    public val next: Int = 0,
    public val probability: Double = 0.0,
    public val seed: Long = 1,
) {
    init {
        require(probability in 0.0..1.0) { "probability is $probability, must be between 0 and 1" }
    }
}

/** The progress through an [AnswerLoss]. */
internal class AnswerLossState(
    private val loss: AnswerLoss,
) {
    private val random = SplittableRandom(loss.seed)
    private var left = loss.next

    @Synchronized
    fun losesNext(): Boolean {
        if (left > 0) {
            left--
            return true
        }
        return loss.probability > 0 && random.nextDouble() < loss.probability
    }
}
