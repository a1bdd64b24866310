package oriolespindle.core.order

import oriolespindle.core.config.Revision
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** What the order machine knows of one endpoint. */
internal class EndpointTracker(
    val id: EndpointId,
    var checksFence: Boolean,
) {
    class InFlight(
        val order: OperatorOrder,
        /** The engine does not begin the order after this time. */
        val expiresAt: Timestamp,
    )

    var serving = true
    var desired: List<OperatorOrder> = emptyList()
    var state: EndpointState? = null
        private set

    /** When the read that gave [state] was sent; the state is at least as new. */
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

    /** Whether the state was read after [moment]. */
    fun hasStateSince(moment: Timestamp): Boolean = state != null && checkNotNull(stateAsOf) >= moment

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

    /** Returns the report of a change in progress, or null when it is not new. */
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
