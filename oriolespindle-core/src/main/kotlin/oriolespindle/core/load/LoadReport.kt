package oriolespindle.core.load

import kotlinx.serialization.Serializable
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId

/** Keeps sums of what other instances report from overflowing; far more than any endpoint has memory for. */
private const val MAX_VALUE = 1_000_000_000_000

private fun requireValid(values: Map<EndpointId, Long>) =
    require(values.values.all { it in 0..MAX_VALUE }) { "a load is negative or too large" }

/** The load that one instance causes, sent to the other instances of its zone; endpoints without load are omitted. */
@Serializable
public data class LoadReport(
    public val from: InstanceId,
    /** The number of the report, increasing with each one of the same instance. */
    public val sequence: Long,
    /** The tokens times layers of the requests in progress at each endpoint. */
    public val tokens: Map<EndpointId, Long> = emptyMap(),
    /** The streams in progress whose paths begin at each endpoint. */
    public val streams: Map<EndpointId, Long> = emptyMap(),
) {
    init {
        requireValid(tokens)
        requireValid(streams)
    }

    /** Whether the instance has no requests in progress. */
    public val isEmpty: Boolean get() = tokens.isEmpty() && streams.isEmpty()
}

/** The sum of the load that the instances of [zone] cause, sent by one of them to the instances of other zones. */
@Serializable
public data class ZoneLoadReport(
    public val from: InstanceId,
    public val sequence: Long,
    public val zone: ZoneId,
    public val tokens: Map<EndpointId, Long> = emptyMap(),
) {
    init {
        requireValid(tokens)
    }
}
