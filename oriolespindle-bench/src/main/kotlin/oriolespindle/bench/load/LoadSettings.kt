package oriolespindle.bench.load

import java.net.URI
import kotlin.time.Duration

/**
 * The settings of one run of the load tool.
 *
 * [rate] is in requests per second. The load is open-loop: arrivals are random with a fixed [seed] and do not wait for
 * answers, so that a slow router still receives the requests that arrive meanwhile.
 */
internal data class LoadSettings(
    val target: URI,
    val key: String,
    val model: String,
    val rate: Double,
    val duration: Duration,
    val tokens: Int,
    val maxInFlight: Int,
    val seed: Long,
)
