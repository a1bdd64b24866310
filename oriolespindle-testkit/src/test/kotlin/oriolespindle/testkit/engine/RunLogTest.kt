package oriolespindle.testkit.engine

import org.junit.jupiter.api.Test
import oriolespindle.core.id.LayerRange
import strikt.api.expectThat
import strikt.assertions.containsExactly

class RunLogTest {
    @Test
    fun `the oldest attempts are forgotten, so that a long load run does not exhaust the memory`() {
        val log = RunLog(keptPositions = 4)

        repeat(3) { request -> repeat(2) { log.add("r$request", 1, LayerRange(0, 20), it) } }

        expectThat(log.all().map { it.request }).containsExactly("r1", "r2")
    }
}
