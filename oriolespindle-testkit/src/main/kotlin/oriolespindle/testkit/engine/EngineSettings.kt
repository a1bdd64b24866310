package oriolespindle.testkit.engine

import kotlin.time.Duration

/**
 * What a fake engine is and how fast it works; it holds the layers from [first] up to but not including [end].
 *
 * [tokensPerSecond] is only reported. A request beyond [maxActive] is refused as `busy`, and the least recently used
 * session beyond [maxSessions] is evicted. The load report is up to [loadLag] old.
 */
public data class EngineSettings(
    public val endpoint: String,
    public val model: String,
    public val first: Int,
    public val end: Int,
    public val tokenDelay: Duration = Duration.ZERO,
    public val prefillDelay: Duration = Duration.ZERO,
    public val tokensPerSecond: Double = 1000.0,
    public val checksFence: Boolean = true,
    public val maxActive: Int = 256,
    public val maxSessions: Int = 1000,
    public val loadLag: Duration = Duration.ZERO,
)
