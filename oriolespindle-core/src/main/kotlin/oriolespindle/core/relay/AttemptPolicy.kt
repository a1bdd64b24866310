package oriolespindle.core.relay

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
    /** Attempts of which at least one byte was sent. */
    public var sends: Int = 0
        private set

    /** Attempts that failed before a byte was sent. */
    public var unsent: Int = 0
        private set

    /** Whether the request may have run at some endpoint. */
    public var mayHaveRun: Boolean = false
        private set

    /** Counts an attempt that ended as [end]. */
    public fun ended(end: AttemptEnd) {
        if (end == AttemptEnd.NotSent) unsent++ else sends++
        if (end == AttemptEnd.Failed || end == AttemptEnd.Unknown) mayHaveRun = true
    }
}

/** The settings of [AttemptPolicy]. */
public data class AttemptSettings(
    /** Bounds the connections that one request tries to open; each costs a connect timeout at worst. */
    public val maxUnsent: Int = 3,
    /** What must be left of the caller's time for another attempt to be of use. */
    public val leastTime: Duration = 20.milliseconds,
    /** After a refusal of a full endpoint; its queue is short. */
    public val retryAfterBusy: Duration = 100.milliseconds,
    /** After a failure to reach any endpoint; repairs take seconds. */
    public val retryAfterUnreachable: Duration = 500.milliseconds,
)

/**
 * Decides what follows an attempt that brought no answer.
 *
 * A request is sent again only if its route allows it or if it certainly did not run, within the route's attempts, the
 * retry budget of the service and the caller's time. A refusal as not run is given only if no attempt may have run.
 */
public class AttemptPolicy(
    private val budget: ServiceBudgets,
    private val settings: AttemptSettings = AttemptSettings(),
) {
    /** Returns what follows [end]; [history] has to include it. */
    public fun decide(
        now: Timestamp,
        route: Route,
        service: ServiceId,
        history: AttemptHistory,
        end: AttemptEnd,
        expiry: Timestamp,
    ): AttemptDecision {
        val timeLeft = expiry - now > settings.leastTime
        val again =
            when (end) {
                AttemptEnd.NotSent -> {
                    history.unsent < settings.maxUnsent && mayRepeat(route, history)
                }

                AttemptEnd.NotRun -> {
                    history.sends < route.maxAttempts && mayRepeat(route, history)
                }

                AttemptEnd.Failed, AttemptEnd.Unknown -> {
                    history.sends < route.maxAttempts && route.mayRepeat
                }
            }
        val free = end == AttemptEnd.NotSent && history.sends == 0
        if (timeLeft && again && (free || budget.takeRetry(now, service))) return AttemptDecision.Retry
        return when {
            end == AttemptEnd.Failed -> AttemptDecision.Deliver
            history.mayHaveRun -> AttemptDecision.Fail
            end == AttemptEnd.NotRun -> AttemptDecision.Refuse(settings.retryAfterBusy)
            else -> AttemptDecision.Refuse(settings.retryAfterUnreachable)
        }
    }

    private fun mayRepeat(
        route: Route,
        history: AttemptHistory,
    ): Boolean = route.mayRepeat || !history.mayHaveRun
}
