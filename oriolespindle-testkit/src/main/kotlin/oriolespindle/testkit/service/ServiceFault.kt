package oriolespindle.testkit.service

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import oriolespindle.testkit.AnswerLoss

/** A fault of the fake plain service; the body of `POST /_control` with the fault's name in the field `type`. */
@Serializable
public sealed interface ServiceFault {
    /** Ends every fault. */
    @Serializable
    @SerialName("healthy")
    public data object Healthy : ServiceFault

    /** Calls have their effect, and the connection is closed in place of an answer. */
    @Serializable
    @SerialName("lose_answers")
    public data class LoseAnswers(
        public val loss: AnswerLoss,
    ) : ServiceFault

    /** Answers come [millis] after the effect. */
    @Serializable
    @SerialName("slow")
    public data class Slow(
        public val millis: Long,
    ) : ServiceFault

    /** The next [next] calls are answered with 503 as not run and have no effect. */
    @Serializable
    @SerialName("not_run")
    public data class NotRun(
        public val next: Int = Int.MAX_VALUE,
    ) : ServiceFault

    /** Calls are answered with 503 as not run, with the reason `draining`. */
    @Serializable
    @SerialName("draining")
    public data object Draining : ServiceFault
}
