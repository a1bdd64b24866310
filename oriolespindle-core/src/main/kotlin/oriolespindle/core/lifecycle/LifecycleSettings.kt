package oriolespindle.core.lifecycle

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [EndpointLifecycle].
 *
 * The weight of a joining endpoint increases from [initialWeight] to 1 during [slowStart], because its prompt cache is
 * empty and its first calls are slow. The entry of an endpoint that is gone is kept for [goneEntryTtl], which is longer
 * than any of its answers can be delayed.
 */
public data class LifecycleSettings(
    public val slowStart: Duration = 10.seconds,
    public val initialWeight: Double = 0.1,
    public val goneEntryTtl: Duration = 10.minutes,
) {
    init {
        require(slowStart > Duration.ZERO) { "slowStart is $slowStart, must be positive" }
        require(initialWeight in 0.0..1.0) { "initialWeight is $initialWeight, must be from 0 to 1" }
        require(goneEntryTtl > Duration.ZERO) { "goneEntryTtl is $goneEntryTtl, must be positive" }
    }
}
