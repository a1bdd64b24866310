package oriolespindle.router.http

import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicInteger

/** A bound on the bytes that all [AnswerBuffer]s of one client hold together. */
public class AnswerBufferQuota(
    private val maxBytes: Int = 24 * 1024 * 1024,
) {
    private val used = AtomicInteger()

    internal fun tryTake(bytes: Int): Boolean {
        val isTaken = used.addAndGet(bytes) <= maxBytes
        if (!isTaken) release(bytes)
        return isTaken
    }

    internal fun release(bytes: Int) {
        used.addAndGet(-bytes)
    }
}

/**
 * Collects the body of one answer that is passed on only when it is complete.
 *
 * It is bounded, since a faulty server may send bytes without end.
 */
public class AnswerBuffer(
    private val quota: AnswerBufferQuota,
    private val maxBytes: Int = MAX_ANSWER_BYTES,
) {
    private val bytes = ByteArrayOutputStream()

    /** Appends [part], or returns false if it exceeds the limit of this buffer or of the quota. */
    public fun append(part: ByteArray): Boolean {
        if (part.size > maxBytes - bytes.size() || !quota.tryTake(part.size)) return false
        bytes.writeBytes(part)
        return true
    }

    /** Returns a copy of the collected bytes. */
    public fun toByteArray(): ByteArray = bytes.toByteArray()

    /** Discards the collected bytes; must be called once the answer is no longer needed. */
    public fun clear() {
        quota.release(bytes.size())
        bytes.reset()
    }

    public companion object {
        /** Twice the default limit of request bodies. */
        public const val MAX_ANSWER_BYTES: Int = 8 * 1024 * 1024
    }
}
