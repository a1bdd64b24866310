package oriolespindle.core.lifecycle

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [EndpointLifecycle].
 *
 * A joining endpoint's weight grows from [firstWeight] to 1 within [slowStart], because its prompt cache is empty and
 * its first calls are slow. What is known about an endpoint that is gone is kept for [forgetAfter], which is longer
 * than any of its answers can be late.
 */
public data class LifecycleSettings(
    public val slowStart: Duration = 10.seconds,
    public val firstWeight: Double = 0.1,
    public val forgetAfter: Duration = 10.minutes,
) {
    init {
        require(slowStart > Duration.ZERO) { "slowStart is $slowStart, must be positive" }
        require(firstWeight in 0.0..1.0) { "firstWeight is $firstWeight, must be from 0 to 1" }
        require(forgetAfter > Duration.ZERO) { "forgetAfter is $forgetAfter, must be positive" }
    }
}
