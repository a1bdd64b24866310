package oriolespindle.router.request

import oriolespindle.core.contract.ContractRegistry
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.TeamId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.lifecycle.WorkTimeLimit
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import oriolespindle.router.directory.Directory
import oriolespindle.router.http.HttpClient
import oriolespindle.router.logging.EventLog
import oriolespindle.router.metrics.Metrics
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * State and services shared within the request component; the mutable state is confined to its thread.
 *
 * Between [onWorkStarted] and [onWorkFinished] for the same request the instance does not shut down.
 */
internal class RequestContext(
    val instance: InstanceId,
    val zone: ZoneId,
    val http: HttpClient,
    val platform: PlatformClient,
    val metrics: Metrics,
    val timers: TimerService,
    val offer: (RequestMessage) -> Boolean,
    val onWorkStarted: (RequestId) -> Unit,
    val onWorkFinished: (RequestId) -> Unit,
    /** Returns the time until this instance ends requests in flight; null if it is not stopping or has no end. */
    val timeLeft: () -> Duration?,
) {
    val directory: Directory = Directory()
    val contracts: ContractRegistry = ContractRegistry()
    val teamUsage: TeamUsage = TeamUsage()
    private var requestCount = 0L

    fun now(): Timestamp = monotonicNow()

    fun nextRequestId(): RequestId {
        requestCount++
        return RequestId("${instance.value}-${requestCount.toString(ID_RADIX)}")
    }

    /** Counts a refusal; [team] is null for a request without a valid key. */
    fun countRefusal(
        team: TeamId?,
        reason: RefusalReason,
    ) {
        metrics.refused(reason)
        if (team != null) teamUsage.countRefusal(team, reason)
    }

    /** Counts a request of [team] that was answered completely. */
    fun countDone(team: TeamId) {
        metrics.done()
        teamUsage.countDone(team)
    }

    /** Returns when work with [deadline] ends at the latest: then, or when this instance ends its requests. */
    fun latestEnd(deadline: Timestamp): Timestamp = timeLeft()?.let { minOf(deadline, now() + it) } ?: deadline

    /** Returns the refusal of work of [request] that may not end by [deadline] before this instance does; else null. */
    fun refusalBeforeEnd(
        request: RequestId,
        deadline: Timestamp,
    ): CallOutcome.NotRun? {
        val left = timeLeft()
        val limit = WorkTimeLimit(deadline - now())
        if (limit.fitsInto(left)) return null
        EventLog.info(
            "request refused by a stopping instance",
            "request" to request,
            "limit_ms" to limit.duration.inWholeMilliseconds,
            "left_ms" to left?.inWholeMilliseconds,
        )
        return stopping()
    }

    /** Returns the refusal of work that this instance has not begun and does not begin any more. */
    fun stopping(): CallOutcome.NotRun =
        CallOutcome.NotRun(RefusalReason.STOPPING, "this instance is stopping", STOPPING_RETRY_DELAY)

    /** Runs [block] on the request component's thread; retries while its ring buffer is full. */
    fun continueWith(block: () -> Unit) {
        post(RequestMessage.Continue(block))
    }

    /** Runs [block] on the request component's thread after [delay]. */
    fun continueAfter(
        delay: Duration,
        block: () -> Unit,
    ) {
        timers.after(delay) { continueWith(block) }
    }

    fun post(message: RequestMessage) {
        if (!offer(message)) timers.after(RING_RETRY_DELAY) { post(message) }
    }

    private companion object {
        const val ID_RADIX = 36
        val RING_RETRY_DELAY = 2.milliseconds

        /** Another instance may serve the request at once; `Retry-After` has whole seconds. */
        val STOPPING_RETRY_DELAY = 1.seconds
    }
}
