package oriolespindle.router.process

import org.junit.jupiter.api.Test
import oriolespindle.testkit.engine.EngineFault
import oriolespindle.testkit.fleet.FleetProcess
import oriolespindle.testkit.http.TestClient
import oriolespindle.testkit.platform.PlatformInstance
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText

/** Guards against new work for leaving endpoints, and against a request that crashes every endpoint it runs on. */
class EndpointProcessTest {
    @Test
    fun `an endpoint that the platform lists as leaving gets no new work, whatever state it reports`() {
        TestFleet(routers = 1).use { fleet ->
            val leaving = fleet.heads[0]
            fleet.platform.register(PlatformInstance(leaving.name, "z1", leaving.address, "endpoint", "leaving"))
            Thread.sleep(PROPAGATION_MILLIS)

            expectNoNewWork(fleet, leaving)
        }
    }

    @Test
    fun `an endpoint that reports draining gets no new work`() {
        TestFleet(routers = 1).use { fleet ->
            fleet.tails[0].inject(EngineFault.Draining)
            Thread.sleep(PROPAGATION_MILLIS)

            expectNoNewWork(fleet, fleet.tails[0])
        }
    }

    @Test
    fun `an endpoint that an operator drains gets no new work`() {
        val tokenFile = createTempFile().also { it.writeText(TOKEN) }
        TestFleet(routers = 1, routerFlags = listOf("--operator-token-file", tokenFile.toString())).use { fleet ->
            val headers = mapOf("Authorization" to "Bearer $TOKEN", "If-None-Match" to "*")
            val path = "/v1/objects/drain/${fleet.heads[1].name}"
            TestClient(fleet.routers[0].administration).call("PUT", path, """{"draining":true}""", headers)
            Thread.sleep(PROPAGATION_MILLIS)

            expectNoNewWork(fleet, fleet.heads[1])
        }
    }

    @Test
    fun `a request that crashes endpoints crashes at most three of them across all instances`() {
        TestFleet(routers = 2, enginesPerRange = 5).use { fleet ->
            val engines = fleet.heads + fleet.tails
            engines.forEach { it.inject(EngineFault.CrashOnPrompt("poison")) }

            val replies = (0 until CRASHING_REQUESTS).map { fleet.complete(it % 2, "poison pill", FEW_TOKENS) }
            val unrelated = fleet.complete(0, "innocent", FEW_TOKENS)

            expectThat(engines.count { !it.isAlive }).isLessThanOrEqualTo(MAX_CRASHES)
            expectThat(replies.last().body).contains("quarantined")
            expectThat(unrelated.events()).isEqualTo(TestFleet.expectedStream("innocent", FEW_TOKENS))
        }
    }

    private fun expectNoNewWork(
        fleet: TestFleet,
        engine: FleetProcess,
    ) {
        val before = engine.runs().size
        val replies = (1..REQUESTS).map { fleet.complete(0, "request $it", FEW_TOKENS) }

        expectThat(replies).all { get { status }.isEqualTo(200) }
        expectThat(engine.runs().size).isEqualTo(before)
    }

    private companion object {
        const val TOKEN = "test-operator-token-0123456789"
        const val REQUESTS = 20
        const val CRASHING_REQUESTS = 8
        const val FEW_TOKENS = 3
        const val MAX_CRASHES = 3

        /** The required bound is "a few seconds"; the sources of endpoint states are polled every 250 ms to 1 s. */
        const val PROPAGATION_MILLIS = 3_000L
    }
}
