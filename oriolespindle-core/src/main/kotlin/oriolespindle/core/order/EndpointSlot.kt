package oriolespindle.core.order

import oriolespindle.core.config.Revision
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** What the order machine knows of one endpoint. */
internal class EndpointSlot(
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
    var notBefore: Timestamp? = null
    private var failures = 0
    private val reported = HashMap<Pair<String, Revision>, OrderProgress>()

    fun read(state: EndpointState) {
        this.state = state
        stateAsOf = readSentAt
        readSentAt = null
    }

    fun forgetState() {
        state = null
        stateAsOf = null
    }

    /** Whether the state was read after [moment]. */
    fun readSince(moment: Timestamp): Boolean = state != null && checkNotNull(stateAsOf) >= moment

    fun delay(
        now: Timestamp,
        settings: OrderSettings,
    ) {
        val factor = 1 shl minOf(failures++, MOST_DOUBLINGS)
        notBefore = now + minOf(settings.firstRetry * factor, settings.longestRetry)
    }

    fun succeeded() {
        failures = 0
        notBefore = null
    }

    fun waits(now: Timestamp): Boolean = notBefore?.let { now < it } ?: false

    fun pauseUntil(time: Timestamp) {
        notBefore = time
    }

    /** Returns the report of a change in progress, or null when it is not new. */
    fun report(
        order: OperatorOrder,
        progress: OrderProgress,
    ): OrderAction.Report? {
        if (reported.put(order.name to order.version, progress) == progress) return null
        return OrderAction.Report(order, progress)
    }

    fun readOverdue(
        now: Timestamp,
        timeout: Duration,
    ): Boolean = readSentAt?.let { now - it >= timeout } ?: false

    private companion object {
        const val MOST_DOUBLINGS = 10
    }
}
