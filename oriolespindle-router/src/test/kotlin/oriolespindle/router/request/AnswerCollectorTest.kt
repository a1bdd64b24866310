package oriolespindle.router.request

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.ByteQuota
import oriolespindle.core.relay.GrowingBuffer
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.http.FailureKind
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class AnswerCollectorTest {
    private val quota = ByteQuota(MAX_BYTES)
    private val collector = AnswerCollector(GrowingBuffer(quota, MAX_BYTES, freeBytes = 0))
    private val head = ClientEvent.Head(200, DefaultHttpHeaders())

    private fun isReleased() = quota.tryTake(MAX_BYTES)

    // The bytes of an answer without end were collected until the memory of the process was used up.
    @Test
    fun `guards against an answer of a service without end`() {
        collector.handle(head)
        repeat(10) { collector.handle(ClientEvent.Data(ByteArray(1_000))) }

        expectThat(collector.isOversized).isTrue()
        expectThat(collector.handle(ClientEvent.Failed(FailureKind.CANCELLED, sent = true)))
            .isEqualTo(ServiceResult.Lost(timedOut = false))
        expectThat(isReleased()).isTrue()
    }

    @Test
    fun `guards against taking an oversized answer for a complete one`() {
        collector.handle(head)
        collector.handle(ClientEvent.Data(ByteArray(MAX_BYTES + 1)))
        collector.handle(ClientEvent.Data(ByteArray(1)))

        expectThat(collector.handle(ClientEvent.End)).isEqualTo(ServiceResult.Lost(timedOut = false))
    }

    @Test
    fun `returns a complete answer and releases its memory`() {
        collector.handle(head)
        collector.handle(ClientEvent.Data("ab".toByteArray()))
        collector.handle(ClientEvent.Data("c".toByteArray()))
        val result = collector.handle(ClientEvent.End)

        expectThat(collector.isOversized).isFalse()
        expectThat(result).isA<ServiceResult.Answered>().get { body.decodeToString() }.isEqualTo("abc")
        expectThat(isReleased()).isTrue()
    }

    private companion object {
        const val MAX_BYTES = 5_000
    }
}
