package oriolespindle.bench.load

import java.net.URI
import kotlin.time.Duration

/**
 * One run of the load tool.
 *
 * [rate] is in requests a second; arrivals are random with a fixed [seed] and do not wait for answers, so that a slow
 * router is not spared the requests that would have arrived meanwhile.
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
