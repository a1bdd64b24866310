package oriolespindle.router.process

import org.junit.jupiter.api.Test
import oriolespindle.testkit.engine.EngineFault
import oriolespindle.testkit.http.TestClient
import oriolespindle.testkit.http.TestReply
import oriolespindle.testkit.link.LinkFault
import oriolespindle.testkit.platform.PlatformFault
import strikt.api.expectThat
import strikt.assertions.isTrue
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.seconds

/** Guards against unintended changes to the bytes that callers and operators receive in complete sessions. */
class GoldenProcessTest {
    @Test
    fun `a stream whose first connection is truncated after seven lines`() {
        TestFleet(routers = 1).use { fleet ->
            fleet.heads.forEach { it.inject(EngineFault.Truncate(afterLines = 7, streams = 1)) }
            val session = GoldenSession("resumed-stream")

            session.record("streamed completion", fleet.complete(0, "resumed", 12))

            session.verify()
        }
    }

    @Test
    fun `an order sent during a platform outage and again after it`() {
        TestFleet(routers = 1, enginesPerRange = 1).use { fleet ->
            val session = GoldenSession("refused-and-served")

            fleet.platform.inject(PlatformFault.Refuse)
            session.record("order while the platform is down", fleet.order(0, "order-1"))
            fleet.platform.inject(PlatformFault.Healthy)
            session.record("the same order when it is up again", fleet.order(0, "order-1"))
            session.note("effects at the service: ${fleet.services[0].effects().total}")

            session.verify()
        }
    }

    @Test
    fun `a drain through the administration API`() {
        val flags = listOf("--operator-token-file", tokenFile())
        TestFleet(routers = 1, enginesPerRange = 1, routerFlags = flags).use { fleet ->
            val session = GoldenSession("drain")

            session.record("before the drain", fleet.complete(0, "drained", 2, stream = false))
            val drained = fleet.put(0, "drain/${fleet.heads[0].name}", """{"draining":true}""")
            session.note("the drain is answered with status ${drained.status}")
            val refused = eventually { fleet.complete(0, "drained", 2, stream = false).takeIf { it.status == 503 } }
            refused?.let { session.record("no other endpoint has the layers", withoutRequestId(it)) }

            session.verify()
        }
    }

    @Test
    fun `a contract change that reaches an instance without a connection to the platform`() {
        val flags = listOf("--operator-token-file", tokenFile())
        TestFleet(routers = 2, enginesPerRange = 1, routerFlags = flags, isLastRouterLinked = true).use { fleet ->
            val session = GoldenSession("change-in-a-cut")
            checkNotNull(fleet.platformLink).inject(LinkFault.Cut)

            session.record("before the change, through r2", withoutRequestId(fleet.completeAsTeamB()))
            val created = fleet.put(0, "contract/team-b", TestFleet.contract("team-b", KEY_B))
            session.note("the contract is answered with status ${created.status} through r1")
            val served = eventually { fleet.completeAsTeamB().takeIf { it.status == 200 } }
            served?.let { session.record("after the change, through r2", withoutRequestId(it)) }

            session.verify()
        }
    }

    private fun tokenFile(): String = createTempFile().also { it.writeText(TOKEN) }.toString()

    /** Removes the request id, which depends on the number of earlier polls. */
    private fun withoutRequestId(reply: TestReply): TestReply =
        reply.copy(headers = reply.headers - "oriolespindle-request-id")

    private fun <T : Any> eventually(poll: () -> T?): T? {
        val found =
            (1..MAX_POLLS).firstNotNullOfOrNull {
                Thread.sleep(POLL_INTERVAL_MILLIS)
                poll()
            }
        expectThat(found != null).isTrue()
        return found
    }

    private fun TestFleet.put(
        router: Int,
        path: String,
        value: String,
    ): TestReply {
        val headers = mapOf("Authorization" to "Bearer $TOKEN", "If-None-Match" to "*")
        return TestClient(routers[router].administration, CALL_TIMEOUT).call("PUT", "/v1/objects/$path", value, headers)
    }

    private fun TestFleet.completeAsTeamB(): TestReply {
        val body = """{"model":"demo","prompt":"in a cut","max_tokens":2}"""
        val headers = mapOf("Authorization" to "Bearer $KEY_B")
        return TestClient(routers[1].address, CALL_TIMEOUT).call("POST", "/v1/completions", body, headers)
    }

    private companion object {
        const val TOKEN = "test-operator-token-0123456789"
        const val KEY_B = "team-b-test-key"
        const val MAX_POLLS = 300
        const val POLL_INTERVAL_MILLIS = 100L
        val CALL_TIMEOUT = 30.seconds
    }
}
