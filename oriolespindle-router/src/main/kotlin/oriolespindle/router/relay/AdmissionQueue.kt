package oriolespindle.router.relay

import oriolespindle.core.admission.WaitLimits
import oriolespindle.core.admission.WaitResult
import oriolespindle.core.admission.WaitingRequest
import oriolespindle.core.admission.WaitingRoom
import oriolespindle.core.id.ServiceId
import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import java.util.concurrent.ScheduledFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The requests that wait for a free slot, by service.
 *
 * It is evaluated after each event that may free a slot, and every [interval] while a request waits, since some slots
 * become free with time alone. Confined to the event loop.
 */
internal class AdmissionQueue(
    private val timers: TimerService,
    private val metrics: RelayMetrics,
    private val interval: Duration = 50.milliseconds,
) {
    private val rooms = HashMap<ServiceId, WaitingRoom<SlotRequest>>()
    private val requested = LinkedHashSet<ServiceId>()
    private var tick: ScheduledFuture<*>? = null
    private var evaluatedAt = Timestamp.ZERO

    /** The number of waiting requests. */
    val size: Int get() = rooms.values.sumOf { it.size }

    /** Whether a waiting request has to start before [request]. */
    fun goesAhead(request: SlotRequest): Boolean = rooms[request.service]?.goesAhead(request.priority) ?: false

    /** Adds [request] within [limits], or refuses it; [isUntried] says that a slot may be free at this moment. */
    fun offer(
        request: SlotRequest,
        limits: WaitLimits,
        isUntried: Boolean,
    ) {
        val now = monotonicNow()
        val room = rooms.getOrPut(request.service) { WaitingRoom() }
        val waiting = WaitingRequest(request.team, request.priority, request.cost, limits, request)
        when (val result = room.offer(now, waiting)) {
            is WaitResult.Refused -> {
                log("request refused instead of waiting", request)
                request.refuse(result.retryAfter)
            }

            is WaitResult.Waits -> {
                request.waitsSince = now
                result.displaced?.let { refuse(it.payload, it.retryAfter) }
                if (tick == null) tick = timers.every(interval, ::evaluateAll)
                if (isUntried) evaluateSoon(request.service)
            }
        }
    }

    /** Called before [request] is sent, whether it has waited or not. */
    fun onStarted(request: SlotRequest) {
        val room = rooms[request.service] ?: return
        if (request.waitsSince == null) {
            room.onStarted(request.priority)
        } else {
            // A later time could expire the request and start the one behind it instead.
            check(room.start(evaluatedAt) === request) { "request ${request.id} is not the next one" }
            onLeft("waiting request started", request)
        }
    }

    /** Removes [request] if it waits, since it ends for another reason. */
    fun remove(request: SlotRequest) {
        if (request.waitsSince == null) return
        rooms[request.service]?.remove(monotonicNow(), request)
        onLeft("waiting request removed", request)
    }

    /**
     * Evaluates the requests that wait for a slot of [service] once the event in progress is handled.
     *
     * The end of one stream must not wait until another one has started, and several events cause one evaluation.
     */
    fun evaluateSoon(service: ServiceId) {
        val isWaiting = rooms[service]?.let { it.size > 0 } ?: false
        if (!isWaiting || !requested.add(service)) return
        timers.after(Duration.ZERO) {
            requested -= service
            evaluate(service)
        }
    }

    /** Evaluates the requests of all services soon, after a change of the endpoints. */
    fun evaluateAllSoon() = rooms.keys.forEach(::evaluateSoon)

    /** Forgets services that are not in [services] and have no waiting requests. */
    fun retain(services: Set<ServiceId>) {
        rooms.entries.removeIf { (service, room) -> service !in services && room.size == 0 }
    }

    private fun evaluateAll() {
        rooms.keys.toList().forEach(::evaluate)
        if (size > 0) return
        tick?.cancel(false)
        tick = null
    }

    private fun evaluate(service: ServiceId) {
        val room = rooms[service] ?: return
        while (true) {
            evaluatedAt = monotonicNow()
            room.expire(evaluatedAt).forEach { refuse(it.payload, it.retryAfter) }
            val next = room.next() ?: return
            next.start()
            if (next.waitsSince != null) return
        }
    }

    private fun refuse(
        request: SlotRequest,
        retryAfter: Duration,
    ) {
        onLeft("waiting request refused", request)
        request.refuse(retryAfter)
    }

    private fun onLeft(
        event: String,
        request: SlotRequest,
    ) {
        val since = request.waitsSince ?: return
        val waited = monotonicNow() - since
        request.waitsSince = null
        metrics.onWaited(request.priority, waited)
        log(event, request, waited)
    }

    private fun log(
        event: String,
        request: SlotRequest,
        waited: Duration = Duration.ZERO,
    ) = EventLog.info(
        event,
        "request" to request.id,
        "service" to request.service,
        "priority" to request.priority,
        "team" to request.team,
        "waited_ms" to waited.inWholeMilliseconds,
        "waiting" to size,
    )
}
