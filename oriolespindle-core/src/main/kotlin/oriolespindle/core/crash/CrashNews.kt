package oriolespindle.core.crash

import kotlinx.serialization.Serializable
import oriolespindle.core.id.EndpointId

/** One process of an endpoint; [startedAt] tells apart processes that use the same id. */
@Serializable
public data class EndpointProcess(
    public val endpoint: EndpointId,
    public val startedAt: Long,
)

/** The end of a process of an endpoint, as an instance has observed it. */
@Serializable
public data class CrashReport(
    public val process: EndpointProcess,
    /** The traits of each request that the process had not begun to answer. */
    public val unanswered: List<Set<RequestTrait>>,
    /** The time from the end of the process to this report, in milliseconds. */
    public val ageMillis: Long = 0,
    /** The contents of the requests that the process had begun to answer and had not completed. */
    public val begun: Set<RequestTrait> = emptySet(),
    /** Whether the process has certainly ended; otherwise it is silent and may only be out of reach. */
    public val isConfirmed: Boolean = true,
)

/** What an instance tells the others about ends of endpoints; reports may arrive repeatedly and in any order. */
@Serializable
public data class CrashNews(
    public val crashes: List<CrashReport> = emptyList(),
    /** The traits of which the sender has seen requests answered at some time. */
    public val known: Set<RequestTrait> = emptySet(),
    /** The traits of a request that an endpoint has just begun to answer. */
    public val answered: Set<RequestTrait> = emptySet(),
    /** The contents of requests that an endpoint has answered completely. */
    public val completed: Set<RequestTrait> = emptySet(),
)
