package oriolespindle.core.admission

import org.junit.jupiter.api.Test
import oriolespindle.core.id.TeamId
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WaitingRoomTest {
    private val room = WaitingRoom<String>(WaitingRoomSettings(maxWaiting = 64))
    private var now = Timestamp.ZERO

    private fun offer(
        name: String,
        priority: Int = 1,
        team: String = "a",
        until: Duration = 30.seconds,
        inTime: Duration = until,
    ): WaitResult<String> {
        val limits = WaitLimits(now + inTime, now + until)
        return room.offer(now, WaitingRequest(TeamId(team), Priority(priority), TokenCost(100, 100), limits, name))
    }

    private fun starts(count: Int): List<String> = List(count) { checkNotNull(room.start(now)) }

    /** Starts one request every 100 ms, so that the measured rate is 10 a second. */
    private fun serve(count: Int) =
        repeat(count) {
            now += 100.milliseconds
            room.start(now)
        }

    @Test
    fun `one start in 8 goes to the others - guards against priorities that are starved by a more urgent one`() {
        repeat(30) { offer("0-$it", priority = 0) }
        repeat(10) { offer("1-$it", priority = 1) }
        repeat(10) { offer("2-$it", priority = 2) }

        val order = starts(32)
        println("admission: starts while three priorities wait: ${order.joinToString(" ") { it.substringBefore('-') }}")
        expectThat(order.chunked(8).map { part -> part.count { it.startsWith("0") } }).all { isEqualTo(7) }
        expectThat(order.filterNot { it.startsWith("0") }).containsExactly("2-0", "1-0", "2-1", "1-1")
        expectThat(room.next()).isEqualTo("0-28")
    }

    @Test
    fun `direct starts count - guards against a priority that is starved by requests that need not wait`() {
        offer("batch", priority = 2)
        val passed = generateSequence { Priority(0).takeUnless(room::goesAhead) }.take(20).onEach { room.onStarted(it) }

        expectThat(passed.count()).isEqualTo(7)
        expectThat(starts(1)).containsExactly("batch")
        expectThat(room.goesAhead(Priority(0))).isFalse()
    }

    @Test
    fun `a new request waits behind its equals - guards against a free slot that goes to the last one to arrive`() {
        offer("waits", priority = 1)

        expectThat(room.goesAhead(Priority(1))).isTrue()
        expectThat(room.goesAhead(Priority(2))).isTrue()
        expectThat(room.goesAhead(Priority(0))).isFalse()
    }

    @Test
    fun `a request expires when its caller is about to leave - guards against answers that nobody receives`() {
        offer("short", until = 2.seconds)
        offer("long", until = 4.seconds)
        now += 2.seconds
        expectThat(room.expire(now)).isEqualTo(emptyList())
        now += 1.milliseconds
        expectThat(room.expire(now).map { it.payload }).containsExactly("short")
        expectThat(starts(1)).containsExactly("long")
        expectThat(room.size).isEqualTo(0)
    }

    @Test
    fun `the request of a caller that has left does not start - guards against a slot that is spent on nobody`() {
        listOf("left", "stays").forEach { offer(it) }

        expectThat(room.remove(now, "left")).isTrue()
        expectThat(room.remove(now, "left")).isFalse()
        expectThat(starts(1)).containsExactly("stays")
        expectThat(room.start(now)).isEqualTo(null)
    }

    @Test
    fun `a full room refuses the last in order - guards against urgent requests that find it full of batches`() {
        repeat(32) { offer("large-$it", priority = 2, team = "large") }
        repeat(32) { offer("0-$it", priority = 0) }

        expectThat(offer("large-32", priority = 2, team = "large")).isA<WaitResult.Refused>()
        val forUrgent = offer("0-32", priority = 0) as WaitResult.Waits
        expectThat(forUrgent.displaced?.payload).isEqualTo("large-31")
        val forSmall = offer("small", priority = 2, team = "small") as WaitResult.Waits
        expectThat(forSmall.displaced?.payload).isEqualTo("large-30")
        expectThat(room.size).isEqualTo(64)
    }

    @Test
    fun `a request that cannot start in time is refused - guards against waits without a prospect`() {
        repeat(40) { offer("$it") }
        serve(20)
        // 20 requests wait at 10 starts a second. A request of another team starts after one of them.
        expectThat(offer("late", inTime = 500.milliseconds)).isA<WaitResult.Refused>()
        expectThat(offer("small", team = "b", inTime = 500.milliseconds)).isA<WaitResult.Waits<String>>()
        expectThat(offer("patient", inTime = 4.seconds)).isA<WaitResult.Waits<String>>()
    }

    @Test
    fun `Retry-After is when a slot is expected - guards against callers that return to be refused again`() {
        repeat(40) { offer("$it") }
        serve(30)
        val refused = offer("late", inTime = 500.milliseconds) as WaitResult.Refused
        expectThat(refused.retryAfter).isIn(1_000.milliseconds..1_200.milliseconds)
        now += refused.retryAfter
        serve(10)

        expectThat(offer("again", inTime = 500.milliseconds)).isA<WaitResult.Waits<String>>()
    }

    @Test
    fun `the first in line waits although no start was measured - guards against instances with few requests`() {
        offer("first")
        now += 5.seconds
        expectThat(offer("urgent", priority = 0, inTime = 400.milliseconds)).isA<WaitResult.Waits<String>>()
        val refused = offer("second", inTime = 400.milliseconds) as WaitResult.Refused
        expectThat(refused.retryAfter).isEqualTo(2.seconds)
    }

    @Test
    fun `limits follow the silence that callers bear - guards against waits beyond the end of the connection`() {
        val limits = { objective: Duration?, gap: Duration?, expiry: Duration ->
            WaitLimits.of(Timestamp.ZERO, objective, gap, 100.milliseconds, Timestamp.ZERO + expiry)
        }
        val at = { millis: Int -> Timestamp.ZERO + millis.milliseconds }

        expectThat(limits(500.milliseconds, null, 20.seconds)).isEqualTo(WaitLimits(at(400), at(1_900)))
        expectThat(limits(1.seconds, 250.milliseconds, 20.seconds)).isEqualTo(WaitLimits(at(900), at(3_900)))
        expectThat(limits(1.seconds, 600.milliseconds, 20.seconds).until).isEqualTo(at(4_700))
        expectThat(limits(1.seconds, null, 700.milliseconds)).isEqualTo(WaitLimits(at(600), at(600)))
        expectThat(limits(null, null, 20.seconds)).isEqualTo(WaitLimits(at(1_900), at(1_900)))
    }

    @Test
    fun `the typical first event follows its route - guards against waits that end too late on slow routes`() {
        val times = FirstEventTimes()
        repeat(50) { times.onFirstEvent("slow", 400.milliseconds) }

        expectThat(400.milliseconds - times.typical("slow")).isLessThan(5.milliseconds)
        expectThat(times.typical("other")).isEqualTo(100.milliseconds)
    }
}
