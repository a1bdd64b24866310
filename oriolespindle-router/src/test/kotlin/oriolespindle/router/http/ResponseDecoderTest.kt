package oriolespindle.router.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** Guards against answers that are read differently when their bytes arrive in other parts. */
class ResponseDecoderTest {
    /** Returns what is decoded from [parts]: the status and body of each answer, and the fault of a broken one. */
    private fun decode(parts: List<String>): List<String> {
        val channel = EmbeddedChannel(ResponseDecoder().apply { isAwaited = true })
        parts.forEach { channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.ISO_8859_1)) }
        val text = StringBuilder()
        generateSequence { channel.readInbound<Any>() }.forEach { message ->
            if (message is BrokenAnswer) text.append("[${message.fault}]\n")
            if (message is HttpResponse) text.append("${message.status().code()} ${message.headers().get("Name")} ")
            if (message is HttpContent) text.append(message.content().toString(Charsets.ISO_8859_1))
            if (message is LastHttpContent) text.append("\n")
            ReferenceCountUtil.release(message)
        }
        channel.finishAndReleaseAll()
        return text.lines().filter { it.isNotEmpty() }
    }

    /** Returns the different results of decoding [text] in two parts, byte by byte and in random parts. */
    private fun readings(text: String): Set<List<String>> {
        val random = Random(SEED)
        val halves = text.indices.map { listOf(text.take(it), text.drop(it)) }
        val randomParts = List(RANDOM_SPLITS) { randomParts(text, random) }
        return (halves + randomParts + listOf(text.map { it.toString() })).map(::decode).toSet()
    }

    private fun randomParts(
        text: String,
        random: Random,
    ): List<String> {
        val parts = ArrayList<String>()
        while (parts.sumOf { it.length } < text.length) {
            parts += text.drop(parts.sumOf { it.length }).take(random.nextInt(1, MAX_PART))
        }
        return parts
    }

    @Test
    fun `decodes valid answers however they are split`() {
        val answers =
            "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" +
                "HTTP/1.1 200 OK\r\nName:a\tb\u00e9 \r\nContent-Length: 4\r\n\r\nHTTP" +
                "\r\nHTTP/1.1 200\r\nName: \r\nTransfer-Encoding: Chunked\r\n\r\n" +
                "5;x=y\r\n a: b\r\n0\r\nTrailer: 1\r\n\r\n" +
                "HTTP/1.0 599 \r\nName: last\r\n\r\n d\u0000"

        expectThat(readings(answers)).isEqualTo(
            setOf(listOf("103 null ", "200 a\tb\u00e9 HTTP", "200   a: b", "599 last  d\u0000")),
        )
    }

    @Test
    fun `decodes nothing from a broken head on, however it is split`() {
        val sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nName: a\r\n\r\nbody"
        val fields = "HTTP/1.1 200 OK\r\nBad Name: 1\r\nContent-Length: 0\r\n\r\n"
        for (broken in listOf("HTTP/1.1 000 OK\r\n\r\n", fields)) {
            val fault = if (broken == fields) "FIELD_NAME" else "STATUS"
            expectThat(readings(sound + broken + sound)).isEqualTo(setOf(listOf("200 a body", "[$fault]")))
        }
    }

    private companion object {
        const val SEED = 56
        const val RANDOM_SPLITS = 50
        const val MAX_PART = 7
    }
}
