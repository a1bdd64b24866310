package oriolespindle.testkit.platform

import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import oriolespindle.testkit.AnswerLoss
import oriolespindle.testkit.http.TestClient
import oriolespindle.testkit.http.TestReply
import oriolespindle.testkit.http.wireJson
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.io.IOException
import java.net.BindException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds

class PlatformFakeTest {
    private val platform = PlatformFake.start()
    private val client = TestClient(platform.address)

    @AfterEach
    fun stop() = platform.close()

    private val absent = mapOf("If-None-Match" to "*")

    private fun ifMatch(version: Long) = mapOf("If-Match" to "$version")

    private fun put(
        name: String,
        value: String,
        condition: Map<String, String>,
    ) = client.call("PUT", "/v1/objects/claim/$name", value, condition)

    private fun TestReply.stored() = wireJson.decodeFromString<PlatformObject>(body)

    /** Opens a watch and returns its lines as they arrive. */
    private fun watch(from: Long = 0): LinkedBlockingQueue<WatchLine> {
        val lines = LinkedBlockingQueue<WatchLine>()
        thread(isDaemon = true) {
            runCatching {
                client.call("GET", "/v1/watch?kinds=claim&from=$from") {
                    lines +=
                        wireJson.decodeFromString<WatchLine>(it)
                }
            }
        }
        return lines
    }

    // Guards against a stand-in that cannot listen again on the address which it has just released.
    @Test
    fun `an outage that ends at once does not find the address taken`() {
        repeat(500) {
            platform.inject(PlatformFault.Refuse)
            platform.inject(PlatformFault.Healthy)
        }
        expectThat(client.call("GET", "/v1/objects/claim/absent").status).isEqualTo(404)
    }

    // Guards against a stand-in that waits forever for a listener that could not open.
    @Test
    @Timeout(20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    fun `an outage ends once nothing else uses the address`() {
        val address = InetSocketAddress("127.0.0.1", platform.address.substringAfter(':').toInt())
        platform.inject(PlatformFault.Refuse)
        ServerSocket().use { other ->
            other.bind(address)
            expectThrows<BindException> { platform.inject(PlatformFault.Healthy) }
        }
        platform.inject(PlatformFault.Healthy)
        expectThat(client.call("GET", "/v1/objects/claim/absent").status).isEqualTo(404)
    }

    private fun LinkedBlockingQueue<WatchLine>.next(): WatchLine? = poll(5, TimeUnit.SECONDS)

    private fun LinkedBlockingQueue<WatchLine>.nextChange(): WatchLine? =
        generateSequence { next() }.firstOrNull { it.type != WatchType.IDLE }

    @Test
    fun `a conditional write succeeds only against the version that it names`() {
        val created = put("c1", "1", absent).stored()

        val again = put("c1", "2", absent)
        expectThat(again.status).isEqualTo(412)
        expectThat(again.stored()).isEqualTo(created)
        expectThat(put("c1", "2", ifMatch(created.version + 1)).status).isEqualTo(412)
        expectThat(put("c1", "2", ifMatch(created.version)).stored().value).isEqualTo(JsonPrimitive(2))
        expectThat(put("c1", "3", emptyMap()).status).isEqualTo(428)
    }

    @Test
    fun `a value above one megabyte is refused and one of exactly that size is stored`() {
        val largest = '"' + "x".repeat(1024 * 1024 - 2) + '"'

        expectThat(put("c1", largest, absent).status).isEqualTo(200)
        expectThat(put("c2", "$largest ", absent).status).isEqualTo(413)
    }

    @Test
    fun `a watch shows writes and tombstones in order and idle lines in between`() {
        val created = put("c1", "1", absent).stored()
        val lines = watch()
        expectThat(lines.next()).isEqualTo(WatchLine(WatchType.PUT, 1, created))
        expectThat(lines.next()).isEqualTo(WatchLine(WatchType.IDLE, 1))

        val deleted = client.call("DELETE", "/v1/objects/claim/c1", headers = ifMatch(1))

        expectThat(deleted.stored()).isEqualTo(PlatformObject("claim", "c1", version = 2))
        expectThat(lines.nextChange()).isEqualTo(WatchLine(WatchType.DELETE, 2, deleted.stored()))
        expectThat(lines.next()).isEqualTo(WatchLine(WatchType.IDLE, 2))
        expectThat(client.call("GET", "/v1/objects/claim/c1").status).isEqualTo(404)
        expectThat(watch(from = 1).next()?.type).isEqualTo(WatchType.DELETE)
        expectThat(put("c1", "1", absent).stored().version).isEqualTo(3)
    }

    @Test
    fun `a write whose answer is lost has taken effect`() {
        platform.inject(PlatformFault.LoseAnswers(AnswerLoss(next = 1)))

        expectThrows<IOException> { put("c1", "1", absent) }

        expectThat(platform.get("claim", "c1")?.value).isEqualTo(JsonPrimitive(1))
        expectThat(put("c1", "1", absent).status).isEqualTo(412)
        expectThat(platform.calls).isEqualTo(PlatformCalls(put = 2))
    }

    @Test
    fun `answers are lost with the same seed at the same writes`() {
        val lost =
            List(2) {
                platform.inject(PlatformFault.LoseAnswers(AnswerLoss(probability = 0.5, seed = 7)))
                (0 until 20).filter { write -> runCatching { put("c$it-$write", "1", absent) }.isFailure }
            }

        expectThat(lost[0]).isEqualTo(lost[1])
        expectThat(lost[0].size in 1..19).isEqualTo(true)
        expectThat(platform.list("claim")).hasSize(40)
    }

    @Test
    fun `a platform that is down refuses connections or answers 503 and comes back with its objects`() {
        put("c1", "1", absent)

        TestClient(platform.controlAddress).call("POST", "/_control", """{"type":"refuse"}""")
        expectThrows<IOException> { put("c2", "1", absent) }
        TestClient(platform.controlAddress).call("POST", "/_control", """{"type":"healthy"}""")
        platform.inject(PlatformFault.Unavailable)
        expectThat(put("c2", "1", absent).status).isEqualTo(503)
        platform.inject(PlatformFault.Healthy)

        expectThat(platform.list("claim").map { it.name }).containsExactly("c1")
        expectThat(put("c2", "1", absent).status).isEqualTo(200)
    }

    @Test
    @Timeout(30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    fun `refusing connections ends open watches and does not wait for itself`() {
        val lines = List(8) { watch() }
        lines.forEach { expectThat(it.next()?.type).isEqualTo(WatchType.IDLE) }

        platform.inject(PlatformFault.Refuse)
        platform.inject(PlatformFault.Healthy)

        expectThat(put("c1", "1", absent).status).isEqualTo(200)
        lines.forEach { it.clear() }
        expectThat(lines.first().poll(1500, TimeUnit.MILLISECONDS)).isNull()
        expectThat(lines.mapNotNull { it.poll() }).isEmpty()
    }

    @Test
    fun `a hung platform applies nothing, and a watch that hangs stays silent after it recovers`() {
        val lines = watch()
        expectThat(lines.next()?.type).isEqualTo(WatchType.IDLE)

        platform.inject(PlatformFault.Hang)
        expectThrows<IOException> {
            TestClient(platform.address, 200.milliseconds).call("PUT", "/v1/objects/claim/c1", "1", absent)
        }
        expectThat(platform.list("claim")).isEmpty()
        lines.clear()
        platform.inject(PlatformFault.HangOpen)
        platform.inject(PlatformFault.Healthy)
        put("c1", "1", absent)

        expectThat(watch().nextChange()?.revision).isEqualTo(1)
        expectThat(lines.poll(1500, TimeUnit.MILLISECONDS)).isNull()
    }

    @Test
    fun `a lagging instance list shows an earlier version`() {
        val instance = PlatformInstance("e1", "z1", "127.0.0.1:1", "endpoint", "live")
        client.call("PUT", "/v1/instances/e1", wireJson.encodeToString(instance))
        platform.register(instance.copy(state = "leaving"))
        val current = client.call("GET", "/v1/instances").body

        platform.inject(PlatformFault.LagInstances(3_600_000))
        val lagging = client.call("GET", "/v1/instances").body

        val expected = InstanceList(2, listOf(instance.copy(state = "leaving")))
        expectThat(wireJson.decodeFromString<InstanceList>(current)).isEqualTo(expected)
        expectThat(wireJson.decodeFromString<InstanceList>(lagging)).isEqualTo(InstanceList(0, emptyList()))
    }
}
