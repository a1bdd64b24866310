package oriolespindle.core.fairness

import org.junit.jupiter.api.Test
import oriolespindle.core.id.TeamId
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FairQueueTest {
    private val queue = FairQueue<Int>(FairSettings(maxEntries = 1000))
    private var now = Timestamp.ZERO

    private fun entry(
        team: String,
        payload: Int = 0,
        startIn: Duration = 10.seconds,
        tokens: Int = 100,
    ) = FairEntry(TeamId(team), TokenCost(0, tokens), now + startIn, queueLength = 400, payload)

    private fun poll(): FairEntry<Int>? = (queue.poll(now) as? PollResult.Start)?.entry

    /** Serves one request of [team] every 10 ms, so that the measured rate is 10,000 tokens/s. */
    private fun serve(requests: Int) {
        repeat(requests) {
            now += 10.milliseconds
            poll()
        }
    }

    @Test
    fun `requests of a team start in deadline order - guards against urgent calls that wait behind later deadlines`() {
        listOf(3, 1, 2).forEach { queue.offer(now, entry("a", it, startIn = it.seconds)) }

        expectThat(listOf(poll(), poll(), poll()).map { it?.payload }).isEqualTo(listOf(1, 2, 3))
        expectThat(queue.poll(now)).isEqualTo(PollResult.Empty)
    }

    @Test
    fun `requests that cannot start in time are refused at once - guards against callers that wait for a refusal`() {
        repeat(200) { queue.offer(now, entry("a")) }
        serve(100)
        // 100 requests of 100 tokens wait, which takes 1 s. A request with an earlier deadline starts before them.
        expectThat(queue.offer(now, entry("a", startIn = 20.seconds))).isEqualTo(OfferResult.Queued)
        expectThat(queue.offer(now, entry("a", startIn = 500.milliseconds))).isEqualTo(OfferResult.Queued)

        repeat(200) { queue.offer(now, entry("a", startIn = 500.milliseconds)) }
        val full = queue.offer(now, entry("a", startIn = 500.milliseconds)) as OfferResult.Refused
        println("fairness: refused at once with retry after ${full.retryAfter}, ${queue.size} wait")
        expectThat(full.reason).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE)
        expectThat(full.retryAfter).isLessThan(100.milliseconds)
        expectThat(queue.size).isLessThan(170)
    }

    @Test
    fun `the last requests are refused early when service slows down - guards against waiting until the deadline`() {
        repeat(200) { queue.offer(now, entry("a", startIn = 3.seconds)) }
        serve(50)
        expectThat(queue.expire(now)).isEmpty()

        // The service stops; most waiting requests are refused long before their deadline.
        repeat(15) {
            now += 100.milliseconds
            queue.expire(now).forEach { expired -> expectThat(expired.retryAfter).isGreaterThan(Duration.ZERO) }
        }
        expectThat(queue.size).isLessThan(75)
        now += 2.seconds
        expectThat(queue.expire(now)).isNotEmpty()
        expectThat(queue.size).isEqualTo(0)
    }

    @Test
    fun `a full queue has room for other teams - guards against a few teams that block all others`() {
        val results = (1..3).flatMap { team -> List(400) { queue.offer(now, entry("flood$team")) } }
        expectThat(results.count { it is OfferResult.Queued }).isLessThanOrEqualTo(1000)

        expectThat(queue.offer(now, entry("other"))).isEqualTo(OfferResult.Queued)
        val refused = results.last() as OfferResult.Refused
        expectThat(refused.reason).isEqualTo(RefusalReason.QUEUE_FULL)
    }

    @Test
    fun `a team is charged for the tokens it used - guards against low estimates that gain a larger share`() {
        var cheap = 0
        var honest = 0
        repeat(4000) {
            while (queue.waitingTokens().size < 2) {
                queue.offer(now, entry("cheap", tokens = 10))
                queue.offer(now, entry("honest", tokens = 100))
            }
            val started = checkNotNull(poll())
            val isCheap = started.team == TeamId("cheap")
            if (isCheap) cheap += 100 else honest += 100
            queue.settle(now, started.team, started.cost, TokenCost(0, 100))
        }
        println("fairness: estimates ten times too low get %.3f of an honest team".format(cheap.toDouble() / honest))
        expectThat(cheap.toDouble() / honest).isLessThan(1.05)
    }

    @Test
    fun `an earlier small weight does not delay a team - guards against waiting after load has moved here`() {
        val a = TeamId("a")
        queue.setWeights(now, mapOf(a to 0.001))
        queue.offer(now, entry("a"))
        poll()
        queue.setWeights(now, mapOf(a to 1.0))
        repeat(20) {
            queue.offer(now, entry("a"))
            queue.offer(now, entry("b"))
        }
        val first = List(20) { checkNotNull(poll()).team }
        expectThat(first.count { it == a }).isGreaterThan(8)
    }
}
