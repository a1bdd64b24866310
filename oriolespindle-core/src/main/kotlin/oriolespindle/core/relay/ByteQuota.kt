package oriolespindle.core.relay

import java.util.concurrent.atomic.AtomicInteger

/** A bound on the memory that several [GrowingBuffer]s hold together; may be used on any thread. */
public class ByteQuota(
    /** The most bytes that are held at any time. */
    private val maxBytes: Int,
) {
    private val used = AtomicInteger()

    /** Takes [bytes], or returns false if that many are not left. */
    public fun tryTake(bytes: Int): Boolean {
        val isTaken = used.addAndGet(bytes) <= maxBytes
        if (!isTaken) release(bytes)
        return isTaken
    }

    /** Returns [bytes] that were taken. */
    public fun release(bytes: Int) {
        used.addAndGet(-bytes)
    }
}
