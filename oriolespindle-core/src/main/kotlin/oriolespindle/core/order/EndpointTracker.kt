package oriolespindle.core.order

import oriolespindle.core.config.Revision
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** Tracks the state, the orders and the retry backoff of one endpoint. */
internal class EndpointTracker(
    val id: EndpointId,
    var checksFence: Boolean,
) {
    class InFlight(
        val order: OperatorOrder,
        /** The time after which the engine no longer begins the order. */
        val expiresAt: Timestamp,
    )

    var serving = true
    var desired: List<OperatorOrder> = emptyList()
    var state: EndpointState? = null
        private set

    /** The time at which the read that returned [state] was sent; the state is at least that recent. */
    var stateAsOf: Timestamp? = null
        private set
    var readSentAt: Timestamp? = null
    var inFlight: InFlight? = null
    var pausedUntil: Timestamp? = null
    private var consecutiveFailures = 0
    private val lastProgress = HashMap<Pair<String, Revision>, OrderProgress>()

    fun updateState(state: EndpointState) {
        this.state = state
        stateAsOf = readSentAt
        readSentAt = null
    }

    fun clearState() {
        state = null
        stateAsOf = null
    }

    /** Returns whether the known state was read at or after [moment]. */
    fun hasStateSince(moment: Timestamp): Boolean = state != null && checkNotNull(stateAsOf) >= moment

    /** Delays the next action by the exponential backoff. */
    fun backOff(
        now: Timestamp,
        settings: OrderSettings,
    ) {
        val factor = 1 shl minOf(consecutiveFailures++, MAX_DOUBLINGS)
        pausedUntil = now + minOf(settings.initialBackoff * factor, settings.maxBackoff)
    }

    fun resetBackoff() {
        consecutiveFailures = 0
        pausedUntil = null
    }

    fun isPaused(now: Timestamp): Boolean = pausedUntil?.let { now < it } ?: false

    fun pauseUntil(time: Timestamp) {
        pausedUntil = time
    }

    /** Returns a report if [progress] differs from what was last reported for [order], otherwise null. */
    fun reportIfChanged(
        order: OperatorOrder,
        progress: OrderProgress,
    ): OrderAction.Report? {
        if (lastProgress.put(order.name to order.version, progress) == progress) return null
        return OrderAction.Report(order, progress)
    }

    fun isReadOverdue(
        now: Timestamp,
        timeout: Duration,
    ): Boolean = readSentAt?.let { now - it >= timeout } ?: false

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
