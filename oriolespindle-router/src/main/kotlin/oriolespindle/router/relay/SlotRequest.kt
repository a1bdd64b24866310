package oriolespindle.router.relay

import oriolespindle.core.admission.FirstEventTimes
import oriolespindle.core.admission.Priority
import oriolespindle.core.admission.WaitLimits
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** A request of a service with priorities, which may wait for a slot in the [AdmissionQueue]. */
internal class SlotRequest(
    private val request: RelayRequest,
    val priority: Priority,
    tokens: Int,
    /**
     * Starts the request if a slot is free.
     *
     * It calls [AdmissionQueue.onStarted] before it sends anything, leaves the queue if it cannot be served at all, and
     * has no effect while no slot is free.
     */
    val start: () -> Unit,
    /** Answers that the request did not run; a slot is expected after the given time. */
    val refuse: (retryAfter: Duration) -> Unit,
) {
    val id: RequestId get() = request.id
    val service: ServiceId get() = request.service.id
    val team: TeamId = request.team ?: NO_TEAM
    val cost = TokenCost(prompt = tokens, generated = 0)

    /** When the request began to wait; null unless it waits. */
    var waitsSince: Timestamp? = null

    /** Returns how long the request may wait if it ends at [expiry] at the latest. */
    fun limits(
        firstEvents: FirstEventTimes,
        expiry: Timestamp,
    ): WaitLimits {
        val route = request.route
        val typical = firstEvents.typical(route.name)
        return WaitLimits.of(request.arrivedAt, route.objective, route.maxEventGap, typical, expiry)
    }

    private companion object {
        /** Requests without a key share the slots like those of one team. */
        val NO_TEAM = TeamId("")
    }
}
