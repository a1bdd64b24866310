package oriolespindle.router.process

import org.junit.jupiter.api.Test
import oriolespindle.testkit.http.TestClient
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText

/** Guards against operators' orders that are lost, executed without a lease, or left in conflict. */
class OrderProcessTest {
    @Test
    fun `of two orders for one engine the newer one is executed and the older one is reported as superseded`() {
        val tokenFile = createTempFile().also { it.writeText(TOKEN) }
        val flags = listOf("--operator-token-file", tokenFile.toString())
        TestFleet(enginesPerRange = 1, routerFlags = flags).use { fleet ->
            val first = put(fleet, 0, "first", "prefill")
            val second = put(fleet, 1, "second", "decode")

            expectThat(listOf(first, second)).isEqualTo(listOf(200, 200))
            expectThat(eventually { "\"role\":\"decode\"" in state(fleet) }).isTrue()
            expectThat(eventually { statuses(fleet).any { "\"second\":\"done\"" in it } }).isTrue()
            expectThat(statuses(fleet).joinToString()).contains("\"first\":\"superseded\"")
        }
    }

    private fun put(
        fleet: TestFleet,
        router: Int,
        name: String,
        role: String,
    ): Int {
        val order = """{"endpoint":"${fleet.heads[0].name}","action":"role","role":"$role"}"""
        val headers = AUTHORIZATION + ("If-None-Match" to "*")
        return TestClient(fleet.routers[router].administration)
            .call("PUT", "/v1/objects/order/$name", order, headers)
            .status
    }

    private fun state(fleet: TestFleet): String = TestClient(fleet.heads[0].address).call("GET", "/v1/state").body

    private fun statuses(fleet: TestFleet): List<String> =
        fleet.routers.map { TestClient(it.administration).call("GET", "/v1/status", headers = AUTHORIZATION).body }

    /** Polls for 60 s: a new lease stays unused for about 16 s until a holder of a deleted lease can no longer act. */
    private fun eventually(condition: () -> Boolean): Boolean =
        (1..MAX_POLLS).any {
            Thread.sleep(POLL_INTERVAL_MILLIS)
            condition()
        }

    private companion object {
        const val TOKEN = "test-operator-token-0123456789"
        const val MAX_POLLS = 300
        const val POLL_INTERVAL_MILLIS = 200L
        val AUTHORIZATION = mapOf("Authorization" to "Bearer $TOKEN")
    }
}
