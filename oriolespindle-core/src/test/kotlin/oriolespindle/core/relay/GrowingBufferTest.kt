package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.SplittableRandom

class GrowingBufferTest {
    private val quota = ByteQuota(maxBytes = 10_000)

    private fun buffer(maxBytes: Int = 8_000) = GrowingBuffer(quota, maxBytes, freeBytes = 1_000)

    private fun isFree(bytes: Int) = quota.tryTake(bytes).also { if (it) quota.release(bytes) }

    // Many connections that each stayed below the limit of one buffer used up the heap together.
    @Test
    fun `guards against buffers that together take more than the quota`() {
        val buffers = List(10) { buffer() }
        val accepted = buffers.count { it.append(ByteArray(2_000)) }
        expectThat(accepted).isEqualTo(5)
        expectThat(isFree(1)).isFalse()

        expectThat(buffer().append(ByteArray(1_000))).isTrue()
        buffers.forEach { it.clear() }
        expectThat(isFree(10_000)).isTrue()
    }

    @Test
    fun `refuses bytes above its own limit and keeps the others`() {
        val buffer = buffer(maxBytes = 5)
        expectThat(buffer.append("abc".toByteArray())).isTrue()
        expectThat(buffer.append("def".toByteArray())).isFalse()
        expectThat(buffer.append("de".toByteArray())).isTrue()

        expectThat(buffer.toByteArray().decodeToString()).isEqualTo("abcde")
    }

    @Test
    fun `reserves exactly the memory of a known length`() {
        val buffer = buffer()
        expectThat(buffer.reserve(6_000)).isTrue()
        expectThat(isFree(4_000)).isTrue()
        expectThat(buffer().reserve(4_001)).isFalse()
        buffer.append(ByteArray(6_000))
        expectThat(isFree(4_000)).isTrue()
        buffer.clear()
        expectThat(isFree(10_000)).isTrue()
    }

    @Test
    fun `keeps the memory of trimmed bytes until they are cleared`() {
        val buffer = buffer()
        buffer.append(ByteArray(3_000))
        buffer.append(ByteArray(10))
        expectThat(buffer.trim().size).isEqualTo(3_010)
        expectThat(isFree(10_000 - 3_010)).isTrue()
        expectThat(isFree(10_001 - 3_010)).isFalse()

        buffer.clear()
        expectThat(isFree(10_000)).isTrue()
    }

    @Test
    fun `guards against memory that is counted twice or never released`() {
        val random = SplittableRandom(11)
        repeat(200) {
            val buffer = buffer()
            val expected = StringBuilder()
            repeat(1 + random.nextInt(30)) {
                val part = "${'a' + random.nextInt(26)}".repeat(random.nextInt(600))
                if (buffer.append(part.toByteArray())) expected.append(part)
                val discarded = if (random.nextInt(3) == 0) random.nextInt(expected.length + 1) else 0
                buffer.discard(discarded)
                expected.delete(0, discarded)
                expectThat(buffer.toByteArray().decodeToString()).isEqualTo(expected.toString())
            }
            if (random.nextBoolean()) expectThat(buffer.trim().decodeToString()).isEqualTo(expected.toString())
            buffer.clear()
            expectThat(isFree(10_000)).isTrue()
        }
    }
}
