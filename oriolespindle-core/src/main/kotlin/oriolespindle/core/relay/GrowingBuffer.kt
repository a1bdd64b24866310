package oriolespindle.core.relay

/**
 * Collects bytes that cannot be handled before more of them arrive.
 *
 * Its memory, including the part that holds no bytes yet, is taken from [quota] while it exceeds [freeBytes]. It is
 * bounded, since a faulty peer may send bytes without end on many connections at once.
 */
public class GrowingBuffer(
    private val quota: ByteQuota,
    /** The most bytes of this buffer. */
    private val maxBytes: Int,
    /** The memory that is not counted, so that small messages do not depend on the quota. */
    private val freeBytes: Int = FREE_BYTES,
) {
    /** The array with the bytes from 0 to [size]; it is replaced when the buffer grows or shrinks. */
    internal var array = EMPTY
        private set

    /** The number of collected bytes. */
    public var size: Int = 0
        private set

    /** Appends [part], or returns false if it exceeds the limit of this buffer or of the quota. */
    public fun append(part: ByteArray): Boolean {
        if (part.size > maxBytes - size || !grow(size + part.size)) return false
        part.copyInto(array, size)
        size += part.size
        return true
    }

    /** Discards the first [count] bytes. */
    public fun discard(count: Int) {
        if (count == 0) return
        if (count == size) {
            clear()
            return
        }
        val former = array
        val rest = size - count
        if (former.size > freeBytes && rest <= freeBytes) {
            array = former.copyOfRange(count, size)
            quota.release(former.size)
        } else {
            former.copyInto(former, 0, count, size)
        }
        size = rest
    }

    /** Returns a copy of the collected bytes. */
    public fun toByteArray(): ByteArray = array.copyOf(size)

    /** Returns the collected bytes without a copy if they fill the memory taken, which stays taken until [clear]. */
    public fun trim(): ByteArray {
        if (size < array.size) {
            quota.release(counted(array.size) - counted(size))
            array = array.copyOf(size)
        }
        return array
    }

    /** Discards the collected bytes; must be called once they are no longer needed. */
    public fun clear() {
        size = 0
        if (array.size <= freeBytes) return
        quota.release(array.size)
        array = EMPTY
    }

    /** Takes the memory for [bytes] in all, or returns false if the quota has not that much left. */
    public fun reserve(bytes: Int): Boolean {
        if (bytes <= array.size) return true
        if (!quota.tryTake(counted(bytes))) return false
        quota.release(counted(array.size))
        array = array.copyOf(bytes)
        return true
    }

    private fun grow(needed: Int): Boolean {
        if (needed <= array.size) return true
        return reserve(maxOf(needed, minOf(array.size * 2, maxBytes), minOf(MIN_CAPACITY, maxBytes)))
    }

    private fun counted(capacity: Int): Int = if (capacity > freeBytes) capacity else 0

    private companion object {
        const val FREE_BYTES = 4 * 1024
        const val MIN_CAPACITY = 256
        val EMPTY = ByteArray(0)
    }
}
