package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How one attempt of a request ended without an answer for the caller. */
public sealed interface AttemptEnd {
    /** Nothing was sent: no endpoint was found or no connection could be opened. */
    public data object NotSent : AttemptEnd

    /** The endpoint reported in a complete answer that it did not run the request. */
    public data object NotRun : AttemptEnd

    /** The endpoint answered with a failure after running the request. */
    public data object Failed : AttemptEnd

    /** The request was sent and may have run, but no complete answer arrived. */
    public data object Unknown : AttemptEnd
}

/** The action to take after a failed attempt. */
public sealed interface AttemptDecision {
    /** Send the request again, to another endpoint if there is one. */
    public data object Retry : AttemptDecision

    /** Decide again after [delay] with [AttemptPolicy.decideResumption], since the caller has a part of the answer. */
    public data class RetryLater(
        public val delay: Duration,
    ) : AttemptDecision

    /** Forward the endpoint's error response unchanged. */
    public data object Deliver : AttemptDecision

    /** Tell the caller that the request did not run and may be retried after [retryAfter]. */
    public data class Refuse(
        public val retryAfter: Duration,
    ) : AttemptDecision

    /** Tell the caller that it is not known whether the request ran. */
    public data object Fail : AttemptDecision
}

/** Counts the attempts of one request by outcome and remembers the endpoints that received it. */
public class AttemptHistory {
    private val receivers = HashSet<EndpointId>()

    /** The number of attempts of which at least one byte was sent. */
    public var sends: Int = 0
        private set

    /** The number of attempts that may have run. */
    public var runs: Int = 0
        private set

    /** The number of attempts that failed before a byte was sent. */
    public var unsent: Int = 0
        private set

    /** Whether a retry was taken from the budget whose attempt has not been sent yet. */
    internal var hasUnusedRetry: Boolean = false

    /** The number of delays so far before attempts to resume a begun answer. */
    internal var resumptionDelays: Int = 0

    /** Whether any attempt may have run. */
    public val mayHaveRun: Boolean get() = runs > 0

    /** Records an attempt that ended with [end]; [receiver] is its endpoint, or null if there was none. */
    public fun onAttemptEnded(
        end: AttemptEnd,
        receiver: EndpointId? = null,
    ) {
        if (end == AttemptEnd.NotSent) {
            unsent++
            return
        }
        sends++
        hasUnusedRetry = false
        receiver?.let(receivers::add)
        if (end == AttemptEnd.Failed || end == AttemptEnd.Unknown) runs++
    }

    /** Returns whether the request may be sent to [endpoint] when at most [maxReceivers] endpoints may receive it. */
    public fun mayReceive(
        endpoint: EndpointId,
        maxReceivers: Int,
    ): Boolean = endpoint in receivers || receivers.size < maxReceivers

    /** Returns whether another endpoint may receive the request when at most [maxReceivers] endpoints may. */
    public fun mayAddReceiver(maxReceivers: Int): Boolean = receivers.size < maxReceivers
}

/** The settings of [AttemptPolicy]. */
public data class AttemptSettings(
    /** The most attempts to open a connection for one request; each costs a connect timeout in the worst case. */
    public val maxUnsent: Int = 3,
    /** The most times that one request is sent, over all paths through the endpoints that may receive it. */
    public val maxSends: Int = 4,
    /** The time to the caller's deadline below which another attempt cannot succeed. */
    public val minTimeLeft: Duration = 20.milliseconds,
    /** The delay suggested to the caller when endpoints are full; short, since their queues are short. */
    public val retryAfterBusy: Duration = 100.milliseconds,
    /** The delay suggested to the caller when no endpoint could be reached; repairs take seconds. */
    public val retryAfterUnreachable: Duration = 500.milliseconds,
    /** The first delay before a begun answer is resumed after a refusal; it doubles with each further one. */
    public val initialResumptionDelay: Duration = 100.milliseconds,
    /** The longest delay before a begun answer is resumed; callers give up a stream after gaps of about two seconds. */
    public val maxResumptionDelay: Duration = 400.milliseconds,
)

/**
 * Decides whether a request is retried after an attempt without an answer.
 *
 * A request is retried only if its route allows it or if it certainly did not run, within the retry budget of the
 * service and before the caller's deadline. It runs at most [Route.maxAttempts] times and is received by at most as
 * many endpoints; callers of [decide] enforce the latter with [AttemptHistory.mayReceive]. A retry counts against the
 * budget once something has been sent before; one that could not be sent is used for the next attempt. A request is
 * refused as not run only if no attempt may have run.
 *
 * An answer that has begun cannot be refused any more. While endpoints refuse to resume it, or none can be reached, it
 * is retried after delays until the deadline or until the caller leaves: engines that lose a neighbor refuse for
 * moments, in which all streams of a path would otherwise be cut off.
 */
public class AttemptPolicy(
    private val budget: ServiceBudgets,
    private val settings: AttemptSettings = AttemptSettings(),
) {
    /**
     * Returns the action to take after an attempt that ended with [end].
     *
     * [history] must include that attempt. [canResend] tells whether some endpoint may still receive the request, and
     * [answerBegun] whether the caller has a part of the answer.
     */
    public fun decide(
        now: Timestamp,
        route: Route,
        service: ServiceId,
        history: AttemptHistory,
        end: AttemptEnd,
        expiry: Timestamp,
        canResend: Boolean = history.mayAddReceiver(route.maxAttempts),
        answerBegun: Boolean = false,
    ): AttemptDecision {
        val hasTimeLeft = expiry - now > settings.minTimeLeft
        val isRefused = end == AttemptEnd.NotSent || end == AttemptEnd.NotRun
        if (answerBegun && isRefused && hasTimeLeft && route.isRetryable && canResend) return retryLater(history)
        val mayRetryNow = hasTimeLeft && mayRetry(route, history, end, canResend)
        if (mayRetryNow && takeRetry(now, service, history)) return AttemptDecision.Retry
        return when {
            end == AttemptEnd.Failed -> AttemptDecision.Deliver
            history.mayHaveRun -> AttemptDecision.Fail
            end == AttemptEnd.NotRun -> AttemptDecision.Refuse(settings.retryAfterBusy)
            else -> AttemptDecision.Refuse(settings.retryAfterUnreachable)
        }
    }

    /** Returns whether a begun answer is resumed now, after the delay of [AttemptDecision.RetryLater]. */
    public fun decideResumption(
        now: Timestamp,
        service: ServiceId,
        history: AttemptHistory,
        expiry: Timestamp,
    ): AttemptDecision =
        when {
            expiry - now <= settings.minTimeLeft -> AttemptDecision.Fail
            takeRetry(now, service, history) -> AttemptDecision.Retry
            else -> retryLater(history)
        }

    /**
     * Returns whether an attempt that is still in progress, and may have run, may be replaced by another one.
     *
     * An attempt that must not be replaced may be slow but sound, so its answer is awaited.
     */
    public fun mayReplace(
        now: Timestamp,
        route: Route,
        service: ServiceId,
        history: AttemptHistory,
        expiry: Timestamp,
        canResend: Boolean = history.mayAddReceiver(route.maxAttempts),
    ): Boolean =
        expiry - now > settings.minTimeLeft && route.isRetryable && canResend &&
            history.runs + 1 < route.maxAttempts && history.sends + 1 < settings.maxSends &&
            budget.hasRetry(now, service)

    private fun retryLater(history: AttemptHistory): AttemptDecision {
        val factor = 1 shl minOf(history.resumptionDelays++, MAX_DOUBLINGS)
        return AttemptDecision.RetryLater(minOf(settings.initialResumptionDelay * factor, settings.maxResumptionDelay))
    }

    private fun takeRetry(
        now: Timestamp,
        service: ServiceId,
        history: AttemptHistory,
    ): Boolean {
        if (history.sends == 0 || history.hasUnusedRetry) return true
        history.hasUnusedRetry = budget.takeRetry(now, service)
        return history.hasUnusedRetry
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

    private companion object {
        /** Bounds the factor of a delay, which reaches its maximum after a few doublings. */
        const val MAX_DOUBLINGS = 5
    }
}
