package oriolespindle.router.process

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

/** Tests the path from a caller through two instances in separate processes to endpoints and back. */
class WholePathProcessTest {
    @Test
    fun `a completion and a claimed call through two instances match the golden session`() {
        TestFleet(enginesPerRange = 1).use { fleet ->
            val session = GoldenSession("whole-path")

            session.record("streamed completion through r1", fleet.complete(0, "winter stock", 6))
            session.record("plain completion through r2", fleet.complete(1, "winter stock", 6, stream = false))
            session.record("order through r1", fleet.order(0, KEY))
            session.record("the same order repeated through r2", fleet.order(1, KEY))
            session.record("the key with another body through r2", fleet.order(1, KEY, """{"part":"p-2"}"""))
            session.record("order without a key", fleet.order(0, null))

            val runs = (fleet.heads + fleet.tails).flatMap { it.runs() }
            expectThat(fleet.services[0].effects().total).isEqualTo(1)
            expectThat(runs).all { get { positions }.containsExactly((0 until 6).toList()) }
            session.verify()
        }
    }

    private companion object {
        const val KEY = "order-4711"
    }
}
