package oriolespindle.core.lifecycle

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [EndpointLifecycle].
 *
 * A joining endpoint's weight grows from [initialWeight] to 1 within [slowStart], because its prompt cache is empty and
 * its first calls are slow. What is known about an endpoint that is gone is kept for [goneEntryTtl], which is longer
 * than any of its answers can be late.
 */
public data class LifecycleSettings(
    public val slowStart: Duration = 10.seconds,
    public val initialWeight: Double = 0.1,
    public val goneEntryTtl: Duration = 10.minutes,
) {
    init {
        require(slowStart > Duration.ZERO) { "slowStart is $slowStart, must be positive" }
        require(initialWeight in 0.0..1.0) { "firstWeight is $initialWeight, must be from 0 to 1" }
        require(goneEntryTtl > Duration.ZERO) { "forgetAfter is $goneEntryTtl, must be positive" }
    }
}
