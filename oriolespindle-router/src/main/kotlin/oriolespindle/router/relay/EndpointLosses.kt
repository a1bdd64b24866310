package oriolespindle.router.relay

import oriolespindle.core.crash.RequestTrait
import oriolespindle.core.id.EndpointId
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.router.http.Address
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.TimerService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The end of a process of an endpoint, with the traits of each request that it had not begun to answer. */
internal class EndpointCrash(
    val endpoint: RelayEndpoint,
    val unanswered: List<Set<RequestTrait>>,
)

/**
 * Tells endpoints that have ended from single connections that were lost.
 *
 * The losses of one process of an endpoint are gathered for a moment; then the endpoint has ended if it takes no
 * connection. Confined to the event loop.
 */
internal class EndpointLosses(
    private val timers: TimerService,
    /** Finds out whether an address takes connections. */
    private val probe: (Address, (Boolean) -> Unit) -> Unit,
    private val onCrash: (EndpointCrash) -> Unit,
) {
    private class Losses(
        val endpoint: RelayEndpoint,
    ) {
        var count = 0
        val unanswered = ArrayList<Set<RequestTrait>>()
        val waiting = LinkedHashSet<() -> Unit>()

        fun release() = waiting.toList().forEach(::release)

        /** Calls [callback] unless that has been done. */
        fun release(callback: () -> Unit) {
            if (waiting.remove(callback)) callback()
        }
    }

    private val open = HashMap<Pair<EndpointId, Long>, Losses>()

    /**
     * Records that the connection of a request at [endpoint] was lost.
     *
     * [unanswered] has the traits of the request, or is null if the endpoint had begun to answer it. [onSettled] is
     * called when it is known whether the endpoint has ended, and after [MAX_WAIT] at the latest.
     */
    fun onConnectionLost(
        endpoint: RelayEndpoint,
        unanswered: Set<RequestTrait>?,
        onSettled: () -> Unit,
    ) {
        val losses = open.getOrPut(endpoint.id to endpoint.startedAt) { Losses(endpoint).also(::settleLater) }
        losses.count++
        unanswered?.let { losses.unanswered += it }
        losses.waiting += onSettled
        timers.after(MAX_WAIT) { losses.release(onSettled) }
    }

    private fun settleLater(losses: Losses) {
        timers.after(GATHERING_TIME) {
            probe(Address.parse(losses.endpoint.address)) { isReachable -> settle(losses, isReachable) }
        }
    }

    private fun settle(
        losses: Losses,
        isReachable: Boolean,
    ) {
        open.remove(losses.endpoint.id to losses.endpoint.startedAt)
        if (!isReachable) {
            EventLog.info(
                "endpoint ended",
                "endpoint" to losses.endpoint.id,
                "address" to losses.endpoint.address,
                "started_at" to losses.endpoint.startedAt,
                "lost" to losses.count,
                "unanswered" to losses.unanswered.size,
                "traits" to mostFrequent(losses.unanswered),
            )
            onCrash(EndpointCrash(losses.endpoint, losses.unanswered.toList()))
        }
        losses.release()
    }

    private fun mostFrequent(requests: List<Set<RequestTrait>>): List<Map.Entry<RequestTrait, Int>> {
        val counts = requests.flatten().groupingBy { it }.eachCount()
        return counts.entries.sortedByDescending { it.value }.take(MAX_LOGGED_TRAITS)
    }

    companion object {
        /** All connections of a process that ends are lost within a few milliseconds. */
        private val GATHERING_TIME: Duration = 15.milliseconds

        /** How long a request waits to be sent again; a host that is silent answers no probe for longer. */
        val MAX_WAIT: Duration = 60.milliseconds
        private const val MAX_LOGGED_TRAITS = 12
    }
}
