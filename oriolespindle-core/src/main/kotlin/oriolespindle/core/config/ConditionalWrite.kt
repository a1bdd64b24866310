package oriolespindle.core.config

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Settings of the timeout and the retries of a conditional write. */
public data class ConditionalWriteSettings(
    /** The time from the start of a write after which it finishes with whatever is known of its outcome. */
    public val timeout: Duration = 10.seconds,
    /** The delay before the first retry; each further delay is twice as long, up to [maxBackoff]. */
    public val initialBackoff: Duration = 50.milliseconds,
    /** The longest delay before a retry. */
    public val maxBackoff: Duration = 1.seconds,
)

/**
 * One compare-and-set write to the platform, reported as accepted only when it is known to have been applied.
 *
 * The write succeeds only if the object has version [expected], or does not exist if [expected] is null. A null [value]
 * deletes the object. When an answer is lost, the object is read back; if the write is not visible, it is sent again
 * under the same condition, so that it is applied at most once even if the first request is still in transit. Two
 * writers of the same value cannot be told apart, so a value that must have one owner has to name its writer.
 */
public class ConditionalWrite(
    private val key: ObjectKey,
    private val value: String?,
    private val expected: Revision?,
    private val settings: ConditionalWriteSettings = ConditionalWriteSettings(),
) {
    private var phase = Phase.NEW
    private var deadline = Timestamp.ZERO
    private var retryAt = Timestamp.ZERO
    private var backoff = settings.initialBackoff
    private var mayBeApplied = false

    /** Applies [event] and returns the actions to perform; events after [WriteAction.Finish] are ignored. */
    public fun handle(
        now: Timestamp,
        event: WriteEvent,
    ): List<WriteAction> {
        if (phase == Phase.FINISHED) return emptyList()
        return when (event) {
            WriteEvent.Start -> onStart(now)
            is WriteEvent.Applied -> finish(WriteResult.Accepted(event.version))
            is WriteEvent.Conflict -> onConflict(event.current)
            WriteEvent.AnswerLost -> onAnswerLost(now)
            WriteEvent.Unavailable -> scheduleRetry(now)
            is WriteEvent.ReadBack -> onReadBack(now, event.current)
            WriteEvent.Tick -> onTick(now)
        }
    }

    private fun onStart(now: Timestamp): List<WriteAction> {
        check(phase == Phase.NEW) { "write of $key was started twice" }
        deadline = now + settings.timeout
        return sendWrite() + WriteAction.Wait(deadline)
    }

    private fun sendWrite(): List<WriteAction> {
        phase = Phase.WRITING
        return listOf(WriteAction.Write(key, value, expected))
    }

    private fun onAnswerLost(now: Timestamp): List<WriteAction> {
        mayBeApplied = true
        return scheduleRetry(now)
    }

    private fun scheduleRetry(now: Timestamp): List<WriteAction> {
        if (now >= deadline) return onTimeout()
        retryAt = minOf(now + backoff, deadline)
        backoff = minOf(backoff * 2, settings.maxBackoff)
        phase = Phase.WAITING
        return listOf(WriteAction.Wait(retryAt))
    }

    private fun onTick(now: Timestamp): List<WriteAction> {
        if (now >= deadline) return onTimeout()
        if (phase != Phase.WAITING || now < retryAt) return emptyList()
        if (!mayBeApplied) return sendWrite()
        phase = Phase.READING
        return listOf(WriteAction.Read(key))
    }

    private fun onReadBack(
        now: Timestamp,
        current: StoredObject?,
    ): List<WriteAction> {
        val unchanged = current?.takeUnless { it.deleted }?.version == expected
        if (unchanged) return if (now >= deadline) onTimeout() else sendWrite()
        return onConflict(current)
    }

    private fun onConflict(current: StoredObject?): List<WriteAction> {
        if (mayBeApplied && hasWrittenContent(current?.value)) return finish(WriteResult.Accepted(current?.version))
        return finish(WriteResult.Conflict(current))
    }

    private fun onTimeout(): List<WriteAction> {
        val uncertain = mayBeApplied || phase == Phase.WRITING
        return finish(if (uncertain) WriteResult.Uncertain else WriteResult.NotWritten)
    }

    private fun finish(result: WriteResult): List<WriteAction> {
        phase = Phase.FINISHED
        return listOf(WriteAction.Finish(result))
    }

    /** Compares parsed JSON, because the platform may store a value with different white space. */
    private fun hasWrittenContent(current: String?): Boolean {
        if (current == null || value == null) return current == value
        if (current == value) return true
        return try {
            Json.parseToJsonElement(current) == Json.parseToJsonElement(value)
        } catch (e: SerializationException) {
            false
        }
    }

    private enum class Phase { NEW, WRITING, WAITING, READING, FINISHED }
}
