package oriolespindle.router.process

import org.junit.jupiter.api.Test
import oriolespindle.testkit.AnswerLoss
import oriolespindle.testkit.http.TestClient
import oriolespindle.testkit.http.TestReply
import oriolespindle.testkit.platform.PlatformFault
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteIfExists
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.seconds

/** Guards against accepted changes that are lost, reverted, or reported as in force too early. */
class ConfigurationProcessTest {
    private val tokenFile = createTempFile().also { it.writeText(TOKEN) }

    @Test
    fun `a change through one instance comes into force at the others and a concurrent change gets a conflict`() {
        withFleet { fleet ->
            val created = fleet.put(0, "contract/team-b", contract(), "If-None-Match" to "*")
            val version = versionOf(created)
            val racing = fleet.put(1, "contract/team-b", contract(), "If-None-Match" to "*")
            awaitRollout(fleet, version)

            expectThat(created.status).isEqualTo(200)
            expectThat(racing.status).isEqualTo(412)
            expectThat(racing.body).contains("\"version\":$version")
            expectThat(fleet.completeAs(1, KEY_B).status).isEqualTo(200)
        }
    }

    @Test
    fun `an invalid contract is refused with field, value and rule and changes nothing`() {
        withFleet { fleet ->
            val broken = contract().replace("\"weight\":1.0", "\"weight\":-1.0")

            val refused = fleet.put(0, "contract/team-b", broken, "If-None-Match" to "*")

            expectThat(refused.status).isEqualTo(422)
            expectThat(refused.body).contains("\"field\":\"weight\"").contains("\"value\":\"-1.0\"")
            expectThat(fleet.completeAs(0, KEY_B).status).isEqualTo(401)
        }
    }

    @Test
    fun `while the platform is down changes are refused, completions are served and claimed calls do not run`() {
        withFleet { fleet ->
            fleet.platform.inject(PlatformFault.Refuse)

            val change = fleet.put(0, "contract/team-b", contract(), "If-None-Match" to "*")
            val order = fleet.order(0, "order-1")
            val completion = fleet.complete(1, "during the outage", 5)

            expectThat(change.status).isEqualTo(503)
            expectThat(order.status).isEqualTo(503)
            expectThat(order.body).contains("\"reason\":\"platform_unavailable\"")
            expectThat(completion.events()).isEqualTo(TestFleet.expectedStream("during the outage", 5))
            expectThat(fleet.services[0].effects().total).isEqualTo(0)
        }
    }

    @Test
    fun `a change whose confirmation is lost is read back and accepted`() {
        withFleet { fleet ->
            fleet.platform.inject(PlatformFault.LoseAnswers(AnswerLoss(next = 1)))

            val created = fleet.put(0, "contract/team-b", contract(), "If-None-Match" to "*")

            expectThat(created.status).isEqualTo(200)
        }
    }

    private fun withFleet(block: (TestFleet) -> Unit) {
        try {
            val flags = listOf("--operator-token-file", tokenFile.toString())
            TestFleet(enginesPerRange = 1, routerFlags = flags).use(block)
        } finally {
            tokenFile.deleteIfExists()
        }
    }

    private fun contract() = TestFleet.contract(team = "team-b", key = KEY_B)

    private fun TestFleet.put(
        router: Int,
        path: String,
        value: String,
        condition: Pair<String, String>,
    ): TestReply =
        TestClient(routers[router].administration, CALL_TIMEOUT)
            .call("PUT", "/v1/objects/$path", value, AUTHORIZATION + condition)

    private fun TestFleet.completeAs(
        router: Int,
        key: String,
    ): TestReply {
        val body = """{"model":"demo","prompt":"p","max_tokens":2}"""
        val headers = mapOf("Authorization" to "Bearer $key")
        return TestClient(routers[router].address, CALL_TIMEOUT).call("POST", "/v1/completions", body, headers)
    }

    private fun versionOf(reply: TestReply): Long =
        Regex("\"version\":(\\d+)").find(reply.body)!!.groupValues[1].toLong()

    /** Polls the rollout status up to [MAX_POLLS] times and expects it to report the version in force everywhere. */
    private fun awaitRollout(
        fleet: TestFleet,
        version: Long,
    ) {
        val client = TestClient(fleet.routers[0].administration, CALL_TIMEOUT)
        val inForce =
            (1..MAX_POLLS).any {
                Thread.sleep(POLL_INTERVAL_MILLIS)
                client
                    .call("GET", "/v1/rollout/$version", headers = AUTHORIZATION)
                    .body
                    .contains("\"inForceEverywhere\":true")
            }
        expectThat(inForce).isTrue()
    }

    private companion object {
        const val TOKEN = "test-operator-token-0123456789"
        const val KEY_B = "team-b-test-key"
        const val MAX_POLLS = 300
        const val POLL_INTERVAL_MILLIS = 100L
        val AUTHORIZATION = mapOf("Authorization" to "Bearer $TOKEN")
        val CALL_TIMEOUT = 30.seconds
    }
}
