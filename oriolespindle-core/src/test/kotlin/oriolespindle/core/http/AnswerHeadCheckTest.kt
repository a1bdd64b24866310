package oriolespindle.core.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import kotlin.random.Random

/** Guards against heads that the grammar of HTTP/1.1 forbids and that are accepted, and against the opposite. */
class AnswerHeadCheckTest {
    private val check = AnswerHeadCheck()

    /** Returns the bytes of [text] that were accepted. */
    private fun accept(text: String): Int {
        val bytes = text.toByteArray(Charsets.ISO_8859_1)
        val last = bytes.indexOfFirst { !check.accept(it) }
        return if (last < 0) bytes.size else last + 1
    }

    @Test
    fun `agrees with the grammar on heads with changed bytes`() {
        val random = Random(SEED)
        var accepted = 0
        val disagreements =
            (1..HEADS).mapNotNull {
                val head = change(SOUND, random)
                check.reset()
                val isWhole = accept(head) == head.length && check.isComplete
                if (isWhole) accepted++
                head.takeUnless { isWhole == GRAMMAR.matches(head) }
            }
        expectThat(disagreements).isEmpty()
        expectThat(accepted).isGreaterThan(HEADS / 10)
    }

    private fun change(
        text: String,
        random: Random,
    ): String {
        val at = random.nextInt(text.length)
        val byte = if (random.nextBoolean()) random.nextInt(256).toChar() else SIGNIFICANT.random(random)
        return when (random.nextInt(3)) {
            0 -> text.replaceRange(at, at + 1, byte.toString())
            1 -> text.replaceRange(at, at, byte.toString())
            else -> text.removeRange(at, at + 1)
        }
    }

    @Test
    fun `stops at the end of a head and begins again with the next one`() {
        repeat(2) {
            expectThat(accept(SOUND + "body")).isEqualTo(SOUND.length)
            expectThat(check.isComplete).isTrue()
            check.reset()
        }
    }

    @Test
    fun `a fault lasts until the next head`() {
        accept("HTTP/1.1 000 OK")
        expectThat(accept(SOUND)).isEqualTo(1)
        expectThat(check.fault).isEqualTo(AnswerFault.STATUS)
        check.reset()
        expectThat(check.fault).isEqualTo(null)
        expectThat(accept(SOUND)).isEqualTo(SOUND.length)
    }

    @Test
    fun `a head is partial from its first byte to its last one`() {
        accept("\r\n")
        expectThat(check.isPartial).isFalse()
        for (char in SOUND.dropLast(1)) {
            accept(char.toString())
            expectThat(check.isPartial).isTrue()
        }
        accept("\n")
        expectThat(check.isPartial).isFalse()
    }

    private companion object {
        const val SEED = 56
        const val HEADS = 50_000
        const val SOUND = "HTTP/1.1 200 OK\r\nA-b: c, d\r\nE:\r\n\r\n"
        const val SIGNIFICANT = "\r\n\t :0159\u007f\u0000"
        val GRAMMAR =
            Regex(
                """(\r?\n)*HTTP/1\.\d [1-5]\d\d( [\t\x20-\x7e\x80-\xff]*)?\r?\n""" +
                    """([!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r?\n)*\r?\n""",
            )
    }
}
