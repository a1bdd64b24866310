package oriolespindle.router.logging

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class LineQueueTest {
    /** An output that blocks all writes until [open] is called. */
    private class GatedOutput : OutputStream() {
        private val gate = CountDownLatch(1)
        private val text = StringBuilder()

        @Volatile
        var isWriterBlocked = false
            private set

        override fun write(byte: Int) = write(byteArrayOf(byte.toByte()), 0, 1)

        override fun write(
            bytes: ByteArray,
            offset: Int,
            length: Int,
        ) {
            isWriterBlocked = true
            gate.await()
            synchronized(text) { text.append(String(bytes, offset, length)) }
        }

        fun open() = gate.countDown()

        fun lines(): List<String> = synchronized(text) { text.lines().filter { it.isNotEmpty() } }
    }

    private val output = GatedOutput()
    private val queue = LineQueue(output, capacity = 10) { "dropped $it" }

    @Test
    fun `guards against callers that block on a slow reader of the output`() {
        val time = measureTime { repeat(10_000) { queue.add("line $it") } }

        expectThat(time).isLessThan(1.seconds)
    }

    @Test
    fun `guards against dropped lines that are not counted in the output`() {
        queue.add("line 0")
        awaitBlockedWriter()
        (1..25).forEach { queue.add("line $it") }
        output.open()
        queue.flush(5.seconds)

        expectThat(output.lines()).hasSize(11)

        queue.add("line 26")
        queue.flush(5.seconds)

        expectThat(output.lines().takeLast(2)).containsExactly("dropped 15", "line 26")
    }

    @Test
    fun `guards against a flush that blocks beyond its timeout on a slow reader of the output`() {
        queue.add("line")

        expectThat(measureTime { queue.flush(50.milliseconds) }).isLessThan(1.seconds)
        expectThat(output.lines()).isEqualTo(emptyList())
    }

    @Test
    fun `guards against losing the last lines when the process stops`() {
        output.open()
        (1..5).forEach { queue.add("line $it") }
        queue.flush(5.seconds)

        expectThat(output.lines()).contains("line 5")
    }

    private fun awaitBlockedWriter() {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5)
        while (!output.isWriterBlocked && System.nanoTime() < deadline) Thread.sleep(1)
    }
}
