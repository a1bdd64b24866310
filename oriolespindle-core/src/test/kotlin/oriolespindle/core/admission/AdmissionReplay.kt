package oriolespindle.core.admission

import oriolespindle.core.id.TeamId
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.time.Timestamp
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A source of requests of one [priority] and [team]; [perSecond] is its rate at a time since the start. */
internal class Source(
    val priority: Int,
    val team: String,
    val objective: Duration,
    val perSecond: (Duration) -> Double,
) {
    var requests = 0
    var served = 0
    var inTime = 0

    val servedShare: Double get() = served.toDouble() / requests
    val inTimeShare: Double get() = inTime.toDouble() / requests
}

/**
 * Replays [sources] in virtual time against a service that starts [startsPerSecond] requests a second.
 *
 * A caller that is refused returns once, after `Retry-After` and up to half of it more. Without the queue, a request
 * that finds no free slot is refused.
 */
internal class AdmissionReplay(
    seed: Long,
    private val sources: List<Source>,
    private val startsPerSecond: Double,
    private val hasQueue: Boolean,
) {
    private val random = SplittableRandom(seed)
    private val room = WaitingRoom<Call>()
    private val returning = ArrayList<Call>()
    private var now = Timestamp.ZERO
    private var freeSlots = 0.0

    private inner class Call(
        val source: Source,
        val arrivedAt: Timestamp,
        val isSecond: Boolean = false,
    ) {
        var returnsAt = Timestamp.ZERO
        val limits =
            WaitLimits.of(
                arrivedAt,
                source.objective,
                null,
                typicalFirstEvent = 80.milliseconds,
                arrivedAt + 20.seconds,
            )

        fun onStarted() {
            source.served++
            if (!isSecond && now <= limits.inTimeUntil) source.inTime++
        }
    }

    fun run(duration: Duration) {
        while (now - Timestamp.ZERO < duration) {
            now += TICK
            freeSlots = minOf(freeSlots + startsPerSecond / TICKS_PER_SECOND, MAX_FREE_SLOTS)
            if (hasQueue) serveWaiting()
            val due = returning.filter { it.returnsAt <= now }
            returning -= due.toSet()
            due.forEach { arrive(Call(it.source, now, isSecond = true)) }
            for (source in sources) {
                if (random.nextDouble() >= source.perSecond(now - Timestamp.ZERO) / TICKS_PER_SECOND) continue
                source.requests++
                arrive(Call(source, now))
            }
        }
    }

    private fun serveWaiting() {
        room.expire(now).forEach { refuse(it.payload, it.retryAfter) }
        while (freeSlots >= 1 && room.size > 0) {
            freeSlots--
            room.start(now)?.onStarted()
        }
    }

    private fun arrive(call: Call) {
        val priority = Priority(call.source.priority)
        if (freeSlots >= 1 && !(hasQueue && room.goesAhead(priority))) {
            freeSlots--
            room.onStarted(priority)
            call.onStarted()
        } else if (hasQueue) {
            wait(call, priority)
        } else {
            refuse(call, 250.milliseconds)
        }
    }

    private fun wait(
        call: Call,
        priority: Priority,
    ) {
        val cost = TokenCost(prompt = 300, generated = 100)
        val request = WaitingRequest(TeamId(call.source.team), priority, cost, call.limits, call)
        when (val result = room.offer(now, request)) {
            is WaitResult.Refused -> refuse(call, result.retryAfter)
            is WaitResult.Waits -> result.displaced?.let { refuse(it.payload, it.retryAfter) }
        }
    }

    private fun refuse(
        call: Call,
        retryAfter: Duration,
    ) {
        if (call.isSecond) return
        call.returnsAt = now + retryAfter * (1 + random.nextDouble() / 2)
        returning += call
    }

    private companion object {
        val TICK = 1.milliseconds
        const val TICKS_PER_SECOND = 1_000.0

        /** A slot that is not taken at once remains free, but an idle service does not start many at once. */
        const val MAX_FREE_SLOTS = 4.0
    }
}
