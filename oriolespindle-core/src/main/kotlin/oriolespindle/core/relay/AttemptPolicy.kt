package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How one attempt to have a request run ended without an answer for the caller. */
public sealed interface AttemptEnd {
    /** No byte left this instance: no endpoint was found or no connection could be opened. */
    public data object NotSent : AttemptEnd

    /** The endpoint said in a whole answer that it did not run the request. */
    public data object NotRun : AttemptEnd

    /** The endpoint answered with a failure after running the request. */
    public data object Failed : AttemptEnd

    /** The request was sent and may have run; no whole answer arrived. */
    public data object Unknown : AttemptEnd
}

/** What follows a failed attempt. */
public sealed interface AttemptDecision {
    /** Send the request again, to another endpoint if there is one. */
    public data object Retry : AttemptDecision

    /** Pass on the endpoint's failure as it is. */
    public data object Deliver : AttemptDecision

    /** Tell the caller that the request did not run, and when to come back. */
    public data class Refuse(
        public val retryAfter: Duration,
    ) : AttemptDecision

    /** Tell the caller that it is not known whether the request ran. */
    public data object Fail : AttemptDecision
}

/** What earlier attempts of one request have come to. */
public class AttemptHistory {
    private val receivers = HashSet<EndpointId>()

    /** Attempts of which at least one byte was sent. */
    public var sends: Int = 0
        private set

    /** Attempts that may have run. */
    public var runs: Int = 0
        private set

    /** Attempts that failed before a byte was sent. */
    public var unsent: Int = 0
        private set

    /** Whether the request may have run at some endpoint. */
    public val mayHaveRun: Boolean get() = runs > 0

    /** Counts an attempt that was made at [receiver], if there was one, and ended as [end]. */
    public fun onAttemptEnded(
        end: AttemptEnd,
        receiver: EndpointId? = null,
    ) {
        if (end == AttemptEnd.NotSent) {
            unsent++
            return
        }
        sends++
        receiver?.let(receivers::add)
        if (end == AttemptEnd.Failed || end == AttemptEnd.Unknown) runs++
    }

    /** Returns whether the request may be sent to [endpoint] when at most [maxReceivers] endpoints may receive it. */
    public fun mayReceive(
        endpoint: EndpointId,
        maxReceivers: Int,
    ): Boolean = endpoint in receivers || receivers.size < maxReceivers

    /** Returns whether an endpoint that has not received the request yet may receive it. */
    public fun mayAddReceiver(maxReceivers: Int): Boolean = receivers.size < maxReceivers
}

/** The settings of [AttemptPolicy]. */
public data class AttemptSettings(
    /** Bounds the connections that one request tries to open; each costs a connect timeout at worst. */
    public val maxUnsent: Int = 3,
    /** Bounds the paths that are tried through the endpoints that may receive a request. */
    public val maxSends: Int = 4,
    /** What must be left of the caller's time for another attempt to be of use. */
    public val minTimeLeft: Duration = 20.milliseconds,
    /** After a refusal of a full endpoint; its queue is short. */
    public val retryAfterBusy: Duration = 100.milliseconds,
    /** After a failure to reach any endpoint; repairs take seconds. */
    public val retryAfterUnreachable: Duration = 500.milliseconds,
)

/**
 * Decides what follows an attempt that brought no answer.
 *
 * A request is sent again only if its route allows it or if it certainly did not run, within the retry budget of the
 * service and the caller's time. It runs at most as often as the route has attempts, and no more endpoints than that
 * receive it; the caller of [decide] keeps to the latter with [AttemptHistory.mayReceive]. A refusal as not run is
 * given only if no attempt may have run.
 */
public class AttemptPolicy(
    private val budget: ServiceBudgets,
    private val settings: AttemptSettings = AttemptSettings(),
) {
    /**
     * Returns what follows [end].
     *
     * [history] has to include it, and [canResend] tells whether an endpoint is left that may receive the request.
     */
    public fun decide(
        now: Timestamp,
        route: Route,
        service: ServiceId,
        history: AttemptHistory,
        end: AttemptEnd,
        expiry: Timestamp,
        canResend: Boolean = history.mayAddReceiver(route.maxAttempts),
    ): AttemptDecision {
        val hasTimeLeft = expiry - now > settings.minTimeLeft
        val mayRetryNow = hasTimeLeft && mayRetry(route, history, end, canResend)
        val isUnbudgeted = end == AttemptEnd.NotSent && history.sends == 0
        if (mayRetryNow && (isUnbudgeted || budget.takeRetry(now, service))) return AttemptDecision.Retry
        return when {
            end == AttemptEnd.Failed -> AttemptDecision.Deliver
            history.mayHaveRun -> AttemptDecision.Fail
            end == AttemptEnd.NotRun -> AttemptDecision.Refuse(settings.retryAfterBusy)
            else -> AttemptDecision.Refuse(settings.retryAfterUnreachable)
        }
    }

    private fun mayRetry(
        route: Route,
        history: AttemptHistory,
        end: AttemptEnd,
        canResend: Boolean,
    ): Boolean {
        if (!isRetrySafe(route, history)) return false
        val maySendAgain = canResend && history.sends < settings.maxSends
        return when (end) {
            AttemptEnd.NotSent -> history.unsent < settings.maxUnsent
            AttemptEnd.NotRun -> maySendAgain
            AttemptEnd.Failed, AttemptEnd.Unknown -> maySendAgain && history.runs < route.maxAttempts
        }
    }

    private fun isRetrySafe(
        route: Route,
        history: AttemptHistory,
    ): Boolean = route.isRetryable || !history.mayHaveRun
}
