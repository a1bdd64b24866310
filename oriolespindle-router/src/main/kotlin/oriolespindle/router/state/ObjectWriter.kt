package oriolespindle.router.state

import kotlinx.serialization.json.Json
import oriolespindle.core.config.ConditionalWrite
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.WriteAction
import oriolespindle.core.config.WriteEvent
import oriolespindle.core.config.WriteResult
import oriolespindle.core.time.Timestamp
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.platform.PlatformObject
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.platform.toStored
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration

/** Performs conditional writes; every event is handled on the thread to which [post] dispatches. */
internal class ObjectWriter(
    private val platform: PlatformClient,
    private val timers: TimerService,
    private val post: (() -> Unit) -> Unit,
) {
    /**
     * Writes [value], or deletes the object if [value] is null, on condition that the object is at [expected].
     *
     * If [expected] is null, the object must not exist; a deletion needs a version.
     */
    fun write(
        key: ObjectKey,
        value: String?,
        expected: Revision?,
        result: (WriteResult) -> Unit,
    ) {
        Write(key, ConditionalWrite(key, value, expected), result).handle(WriteEvent.Start)
    }

    private inner class Write(
        private val key: ObjectKey,
        private val conditionalWrite: ConditionalWrite,
        private val result: (WriteResult) -> Unit,
    ) {
        fun handle(event: WriteEvent) {
            conditionalWrite.handle(monotonicNow(), event).forEach(::perform)
        }

        private fun perform(action: WriteAction) {
            when (action) {
                is WriteAction.Write -> send(action)
                is WriteAction.Read -> read()
                is WriteAction.Wait -> scheduleTick(action.until)
                is WriteAction.Finish -> result(action.result)
            }
        }

        private fun send(action: WriteAction.Write) {
            val value = action.value
            val expected = action.expected?.value
            if (value != null) {
                val json = Json.parseToJsonElement(value)
                platform.put(key.kind.code, key.name, json, expected) { postEvent(writeEvent(it)) }
            } else {
                val version = checkNotNull(expected) { "deletion of $key has no expected version" }
                platform.delete(key.kind.code, key.name, version) { postEvent(writeEvent(it)) }
            }
        }

        private fun read() {
            platform.get(key.kind.code, key.name) { postEvent(readEvent(it)) }
        }

        private fun scheduleTick(until: Timestamp) {
            val delay = (until - monotonicNow()).coerceAtLeast(Duration.ZERO)
            timers.after(delay) { postEvent(WriteEvent.Tick) }
        }

        private fun postEvent(event: WriteEvent) {
            post { handle(event) }
        }
    }
}

/** Converts the [answer] to a conditional write into the event for [ConditionalWrite]. */
internal fun writeEvent(answer: PlatformResult<PlatformObject>): WriteEvent =
    when (answer) {
        is PlatformResult.Ok -> WriteEvent.Applied(Revision(answer.value.version))
        is PlatformResult.Conflict -> WriteEvent.Conflict(answer.current?.toStored())
        is PlatformResult.NotFound -> WriteEvent.Conflict(null)
        is PlatformResult.Unavailable -> if (answer.mayBeApplied) WriteEvent.AnswerLost else WriteEvent.Unavailable
    }

/** Converts the [answer] to the read that verifies a write into the event for [ConditionalWrite]. */
internal fun readEvent(answer: PlatformResult<PlatformObject>): WriteEvent =
    when (answer) {
        is PlatformResult.Ok -> WriteEvent.ReadBack(answer.value.toStored())
        is PlatformResult.NotFound -> WriteEvent.ReadBack(null as StoredObject?)
        is PlatformResult.Conflict, is PlatformResult.Unavailable -> WriteEvent.Unavailable
    }
