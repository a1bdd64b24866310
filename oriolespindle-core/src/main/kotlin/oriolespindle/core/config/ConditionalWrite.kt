package oriolespindle.core.config

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long one conditional write may take and how it is repeated. */
public data class ConditionalWriteSettings(
    public val deadline: Duration = 10.seconds,
    public val firstRetry: Duration = 50.milliseconds,
    public val longestRetry: Duration = 1.seconds,
)

/**
 * One conditional write to the platform, accepted only when it is known to have landed.
 *
 * The write expects version [expected], or that the object does not exist when it is null; a null [value] deletes the
 * object. A lost answer is settled by reading back: if the write is not visible it is sent again under the same
 * condition, so that it lands at most once even when the first one is still on its way. Two writers of the same value
 * are not told apart, so a value that must have one owner has to name its writer.
 */
public class ConditionalWrite(
    private val key: ObjectKey,
    private val value: String?,
    private val expected: Revision?,
    private val settings: ConditionalWriteSettings = ConditionalWriteSettings(),
) {
    private var phase = Phase.NEW
    private var deadline = Timestamp.ZERO
    private var due = Timestamp.ZERO
    private var retryDelay = settings.firstRetry
    private var mayHaveLanded = false

    /** Applies [event] and returns what to do next; after [WriteAction.Finish] every event is ignored. */
    public fun handle(
        now: Timestamp,
        event: WriteEvent,
    ): List<WriteAction> {
        if (phase == Phase.FINISHED) return emptyList()
        return when (event) {
            WriteEvent.Start -> start(now)
            is WriteEvent.Applied -> finish(WriteResult.Accepted(event.version))
            is WriteEvent.Conflict -> conflict(event.current)
            WriteEvent.AnswerLost -> lost(now)
            WriteEvent.Unavailable -> retryLater(now)
            is WriteEvent.ReadBack -> readBack(now, event.current)
            WriteEvent.Tick -> tick(now)
        }
    }

    private fun start(now: Timestamp): List<WriteAction> {
        check(phase == Phase.NEW) { "write of $key was started twice" }
        deadline = now + settings.deadline
        return write() + WriteAction.Wait(deadline)
    }

    private fun write(): List<WriteAction> {
        phase = Phase.WRITING
        return listOf(WriteAction.Write(key, value, expected))
    }

    private fun lost(now: Timestamp): List<WriteAction> {
        mayHaveLanded = true
        return retryLater(now)
    }

    private fun retryLater(now: Timestamp): List<WriteAction> {
        if (now >= deadline) return expire()
        due = minOf(now + retryDelay, deadline)
        retryDelay = minOf(retryDelay * 2, settings.longestRetry)
        phase = Phase.WAITING
        return listOf(WriteAction.Wait(due))
    }

    private fun tick(now: Timestamp): List<WriteAction> {
        if (now >= deadline) return expire()
        if (phase != Phase.WAITING || now < due) return emptyList()
        if (!mayHaveLanded) return write()
        phase = Phase.READING
        return listOf(WriteAction.Read(key))
    }

    private fun readBack(
        now: Timestamp,
        current: StoredObject?,
    ): List<WriteAction> {
        val unchanged = current?.takeUnless { it.deleted }?.version == expected
        if (unchanged) return if (now >= deadline) expire() else write()
        return conflict(current)
    }

    private fun conflict(current: StoredObject?): List<WriteAction> {
        if (mayHaveLanded && sameContent(current?.value)) return finish(WriteResult.Accepted(current?.version))
        return finish(WriteResult.Conflict(current))
    }

    private fun expire(): List<WriteAction> {
        val uncertain = mayHaveLanded || phase == Phase.WRITING
        return finish(if (uncertain) WriteResult.Uncertain else WriteResult.NotWritten)
    }

    private fun finish(result: WriteResult): List<WriteAction> {
        phase = Phase.FINISHED
        return listOf(WriteAction.Finish(result))
    }

    /** The platform may store JSON with other white space, so content is compared and not text. */
    private fun sameContent(current: String?): Boolean {
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
