package oriolespindle.testkit.fleet

import org.junit.jupiter.api.Test
import oriolespindle.testkit.engine.EngineFault
import oriolespindle.testkit.engine.EngineSettings
import oriolespindle.testkit.http.TestClient
import oriolespindle.testkit.link.LinkFault
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

class ProcessFleetTest {
    private fun pipeline(prompt: String) =
        """{"request":"r1","attempt":1,"model":"demo","prompt":"$prompt","maxTokens":2,""" +
            """"stages":[{"endpoint":"e1","address":"","first":0,"end":20}]}"""

    @Test
    fun `processes become ready, crash, restart, pause and all end with the fleet`() {
        val fleet = ProcessFleet()
        fleet.use {
            val platform = fleet.platform(listOf(FleetObject("model", "demo", """{"layers":20}""")))
            val engine = fleet.engine(EngineSettings("e1", "demo", first = 0, end = 20))
            val link = fleet.link("link", platform.address)
            fleet.awaitReady()
            expectThat(TestClient(link.address).call("GET", "/v1/objects/model/demo").status).isEqualTo(200)
            link.inject(LinkFault.Cut)
            expectThrows<IOException> { TestClient(link.address).call("GET", "/v1/objects/model/demo") }

            engine.inject(EngineFault.CrashOnPrompt("poison"))
            expectThrows<IOException> { TestClient(engine.address).call("POST", "/v1/pipeline", pipeline("poison")) }
            expectThat(engine.exitCode()).isEqualTo(1)

            engine.restart()
            fleet.awaitReady()
            engine.pause()
            expectThrows<IOException> { TestClient(engine.address, 1.seconds).call("GET", "/v1/load") }
            engine.resume()
            expectThat(
                TestClient(engine.address).call("POST", "/v1/pipeline", pipeline("hello")).lines.size,
            ).isEqualTo(3)
            engine.pause()
        }
        expectThat(fleet.processes.any { it.isAlive }).isFalse()
    }

    @Test
    fun `a process that ends before it is ready fails the start with its output`() {
        ProcessFleet().use { fleet ->
            fleet.platform(listOf(FleetObject("model", "demo", "{not json")))

            val failure = expectThrows<IllegalStateException> { fleet.awaitReady() }
            failure.get { message.orEmpty() }.contains("exit code 1 before it was ready").contains("{not json")
        }
    }
}
