package oriolespindle.router.platform

import com.sun.net.httpserver.HttpServer
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import oriolespindle.router.http.Address
import oriolespindle.router.http.HttpClient
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Guards against one object of another writer that stops an instance from following the objects beside it. */
class ForeignObjectTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
    private val client = PlatformClient(HttpClient(group), Address("127.0.0.1", server.address.port))
    private val results = LinkedBlockingQueue<String>()

    @AfterEach
    fun close() {
        server.stop(0)
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()
    }

    private fun answerWith(body: String) {
        server.createContext("/") { exchange ->
            val bytes = body.toByteArray()
            exchange.sendResponseHeaders(200, bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        }
        server.start()
    }

    private fun next(): String? = results.poll(5, TimeUnit.SECONDS)

    private fun names(items: List<PlatformObject>) =
        items.map { it.toStored() }.filter { it.value != "null" }.joinToString(" ") { it.key.name }

    @ParameterizedTest(name = "{index}")
    @MethodSource("foreignObjects")
    fun `lists the objects beside one that cannot be decoded`(foreign: String) {
        answerWith("""{"revision":9,"items":[${item("a")},$foreign,${item("z")}]}""")
        client.list(listOf("model")) { result ->
            results += if (result is PlatformResult.Ok) names(result.value.items) else result.toString()
        }

        expectThat(next()).isEqualTo("a z")
    }

    @ParameterizedTest(name = "{index}")
    @MethodSource("foreignObjects")
    fun `goes on with a watch after an object that cannot be decoded`(foreign: String) {
        val lines = listOf(foreign, item("b")).map { """{"type":"put","revision":9,"object":$it}""" }
        answerWith(lines.joinToString("\n", postfix = "\n"))
        client.watch(listOf("model"), from = 5) { line ->
            results += if (line == null) "end" else names(listOfNotNull(line.`object`))
        }

        expectThat(List(3) { next() }).isEqualTo(listOf("", "b", "end"))
    }

    @Test
    fun `replaces a value that is nested too deeply by one that no kind allows`() {
        answerWith("""{"kind":"model","name":"x","version":3,"value":$DEEP}""")
        client.get("model", "x") { result ->
            results +=
                if (result is PlatformResult.Ok) {
                    result.value.toStored().run {
                        "$key ${version.value} $value"
                    }
                } else {
                    "$result"
                }
        }

        expectThat(next()).isEqualTo("model/x 3 null")
    }

    @Test
    fun `lists the instances beside one that cannot be decoded`() {
        val instance = """{"id":"i","zone":"z","address":"10.0.0.1:80","kind":"k","state":"READY"}"""
        answerWith("""{"version":3,"instances":[{"id":1e99999,"zone":$DEEP},$instance,{"id":"x"}]}""")
        client.listInstances { result ->
            results += if (result is PlatformResult.Ok) result.value.instances.joinToString { it.id } else "$result"
        }

        expectThat(next()).isEqualTo("i")
    }

    private companion object {
        val DEEP = "[".repeat(100_000) + "]".repeat(100_000)
        val DEEP_OBJECTS = """{"a":""".repeat(100_000) + "1" + "}".repeat(100_000)

        fun item(
            name: String,
            version: String = "3",
            value: String = "{}",
        ) = """{"kind":"model","name":"$name","version":$version,"value":$value}"""

        @JvmStatic
        fun foreignObjects() =
            listOf(
                item("x", value = DEEP),
                item("x", value = DEEP_OBJECTS),
                item("x", version = "99999999999999999999"),
                item("x", version = DEEP),
                """{"name":"x"}""",
                "17",
            )
    }
}
