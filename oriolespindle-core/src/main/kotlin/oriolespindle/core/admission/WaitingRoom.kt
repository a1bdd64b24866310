package oriolespindle.core.admission

import oriolespindle.core.fairness.FairEntry
import oriolespindle.core.fairness.FairQueue
import oriolespindle.core.fairness.FairSettings
import oriolespindle.core.fairness.OfferResult
import oriolespindle.core.fairness.PollResult
import oriolespindle.core.time.Timestamp
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [WaitingRoom].
 *
 * @property maxWaiting the maximum number of waiting requests.
 * @property turnInterval one start in this many goes to a waiting priority that is not the most urgent one.
 * @property rateWindow the period over which the rate of starts is measured.
 * @property minBusyTime the time with waiting requests that must be observed before a measured rate is used.
 * @property retryAfterUnmeasured the time after which a slot is expected while no rate is measured.
 * @property minRetryAfter the lower bound of the time after which a slot is expected.
 * @property maxRetryAfter the upper bound of the time after which a slot is expected.
 */
public data class WaitingRoomSettings(
    public val maxWaiting: Int = 256,
    public val turnInterval: Int = 8,
    public val rateWindow: Duration = 2.seconds,
    public val minBusyTime: Duration = 200.milliseconds,
    public val retryAfterUnmeasured: Duration = 250.milliseconds,
    public val minRetryAfter: Duration = 100.milliseconds,
    public val maxRetryAfter: Duration = 2.seconds,
) {
    init {
        require(maxWaiting > 0 && turnInterval > 1) { "maxWaiting is $maxWaiting and turnInterval is $turnInterval" }
    }
}

/**
 * Orders the requests that wait for a free slot of one service.
 *
 * More urgent requests go ahead, and requests of the same priority share the starts fairly by team. One start in
 * [WaitingRoomSettings.turnInterval] goes to a less urgent priority, so that none is starved; several less urgent ones
 * take these starts in turns, since the least urgent one alone would starve those between.
 */
public class WaitingRoom<T : Any>(
    private val settings: WaitingRoomSettings = WaitingRoomSettings(),
) {
    /** The number of requests is bounded for all priorities together, and never by this queue. */
    private val queueSettings =
        FairSettings(
            maxEntries = 4 * (settings.maxWaiting + 1),
            rateWindow = settings.rateWindow,
            minBusyTime = settings.minBusyTime,
            refusesUnreachable = false,
        )

    private inner class Level(
        val priority: Priority,
    ) {
        /** Its rates are those of the starts of this priority, so they reflect the starts of more urgent requests. */
        val queue = FairQueue<T>(queueSettings)

        /** The number of the last turn that this priority has had as a less urgent one. */
        var lastTurn = 0L
    }

    private val levels = TreeMap<Priority, Level>()
    private val entries = HashMap<T, Pair<Level, FairEntry<T>>>()
    private var startsSinceTurn = 0
    private var turns = 0L

    /** The number of waiting requests. */
    public val size: Int get() = entries.size

    /** Returns whether a waiting request has to start before a new one of [priority]. */
    public fun goesAhead(priority: Priority): Boolean =
        nextLevel()?.let { it.priority <= priority || isTurnDue } ?: false

    /**
     * Adds [request], or refuses it if it is not expected to start in time.
     *
     * If the room is full, the last request in order of the least urgent priority leaves, which may be this one.
     */
    public fun offer(
        now: Timestamp,
        request: WaitingRequest<T>,
    ): WaitResult<T> {
        val level = levels.getOrPut(request.priority) { Level(request.priority) }
        val limits = request.limits
        val entry = FairEntry(request.team, request.cost, limits.until, queueLength = Int.MAX_VALUE, request.payload)
        val wait = level.queue.expectedWait(now, request.team, limits.until) ?: Duration.ZERO
        if (now + wait > limits.inTimeUntil) return WaitResult.Refused(retryAfter(now, level, entry))
        check(level.queue.offer(now, entry) == OfferResult.Queued) { "the queue of a priority refuses requests" }
        check(entries.put(request.payload, level to entry) == null) { "${request.payload} waits already" }
        val displaced = if (size > settings.maxWaiting) displaceLast(now) else null
        return if (displaced?.payload == request.payload) {
            WaitResult.Refused(displaced.retryAfter)
        } else {
            WaitResult.Waits(displaced)
        }
    }

    /** Returns the request that [start] removes after a call of [expire] at the same time, or null if none waits. */
    public fun next(): T? = nextLevel()?.queue?.peek()?.payload

    /** Removes and returns the request that starts now, or null if none waits. */
    public fun start(now: Timestamp): T? {
        val level = nextLevel() ?: return null
        val isTurn = level !== firstLevel()
        val started = (level.queue.poll(now) as? PollResult.Start)?.entry?.payload ?: return null
        entries -= started
        if (isTurn) {
            startsSinceTurn = 0
            level.lastTurn = ++turns
        } else {
            countStart(level.priority)
        }
        return started
    }

    /** Records that a request of [priority] has started without waiting. */
    public fun onStarted(priority: Priority) {
        if (size > 0) countStart(priority)
    }

    /** Removes [payload], whose caller has left or which has ended otherwise, and returns whether it was waiting. */
    public fun remove(
        now: Timestamp,
        payload: T,
    ): Boolean {
        val (level, entry) = entries.remove(payload) ?: return false
        return level.queue.remove(now, entry)
    }

    /** Removes and returns the requests that can no longer be answered before their callers disconnect. */
    public fun expire(now: Timestamp): List<Unserved<T>> =
        levels.values.flatMap { level ->
            level.queue.expire(now).map { expired ->
                entries -= expired.entry.payload
                Unserved(expired.entry.payload, retryAfter(now, level, expired.entry))
            }
        }

    private val isTurnDue: Boolean get() = startsSinceTurn >= settings.turnInterval - 1

    private fun firstLevel(): Level? = levels.values.firstOrNull { it.queue.size > 0 }

    private fun nextLevel(): Level? {
        val first = firstLevel()
        if (first == null || !isTurnDue) return first
        val others = levels.tailMap(first.priority, false).values.filter { it.queue.size > 0 }
        return others.asReversed().minByOrNull { it.lastTurn } ?: first
    }

    /** Counts a start of [priority] that was no turn; without a less urgent request, nobody waits for a turn. */
    private fun countStart(priority: Priority) {
        val othersWait = levels.tailMap(priority, false).values.any { it.queue.size > 0 }
        startsSinceTurn = if (othersWait) startsSinceTurn + 1 else 0
    }

    private fun displaceLast(now: Timestamp): Unserved<T>? {
        val level = levels.values.last { it.queue.size > 0 }
        val last = level.queue.last() ?: return null
        remove(now, last.payload)
        return Unserved(last.payload, retryAfter(now, level, last))
    }

    /** Returns when a slot is expected for a request like [entry] that arrives again. */
    private fun retryAfter(
        now: Timestamp,
        level: Level,
        entry: FairEntry<T>,
    ): Duration {
        val expected = level.queue.expectedWait(now, entry.team, entry.startBy, entry.cost)
        return (expected ?: settings.retryAfterUnmeasured).coerceIn(settings.minRetryAfter, settings.maxRetryAfter)
    }
}
