package oriolespindle.core.relay

/** Why a run of a stream cannot continue. */
public enum class StreamFault {
    /** The bytes are not an event. */
    NOT_AN_EVENT,

    /** The next event does not continue the stream. */
    EVENT_MISSING,

    /** An event has too many bytes, or more than there is memory for. */
    ANSWER_TOO_LARGE,

    /** The endpoint goes on sending, but nothing that continues the stream. */
    NO_PROGRESS,
}

/** What some bytes of a run add to the stream of its caller. */
public class StreamPart(
    /** The complete events and comments to pass on; empty if there are none. */
    public val bytes: ByteArray,
    /** The number of events in [bytes], not counting comments. */
    public val events: Int,
    /** Why the run ends after [bytes], or null if it goes on. */
    public val fault: StreamFault?,
)

/** The limits of [StreamReader] on what an endpoint sends between two events that continue the stream. */
public data class StreamReaderSettings(
    /** The most bytes of a partial event with those that arrive next. */
    public val maxEventBytes: Int = 256 * 1024,
    /** The most bytes of comments and repeated events. */
    public val maxSkippedBytes: Int = 256 * 1024,
    /** The most comments and repeated events; comments that arrive together are one. */
    public val maxSkippedEvents: Int = 4_096,
)

/**
 * Reads the runs that contribute to the stream of one caller and decides what is passed on.
 *
 * Comments keep connections open but are no progress, and neither are events that the caller has received before. A run
 * that sends these without end is ended after a fixed amount, however fast they arrive.
 */
public class StreamReader(
    private val position: StreamPosition,
    private val settings: StreamReaderSettings = StreamReaderSettings(),
    /** Bounds the partial events of several streams. */
    quota: ByteQuota = ByteQuota(Int.MAX_VALUE),
) {
    private val framer = EventFramer(settings.maxEventBytes, quota)
    private var skippedBytes = 0
    private var skippedEvents = 0

    /** The events of the current run that were passed on. */
    public var runEvents: Int = 0
        private set

    /** Whether the current run has sent a part of an event that is not complete. */
    public val hasPartialEvent: Boolean get() = framer.hasPartialEvent

    /** Discards a partial event and expects a new run, which resumes after the last event if [isResumed]. */
    public fun onRunStarted(isResumed: Boolean) {
        framer.reset()
        runEvents = 0
        onProgress()
        if (isResumed) position.onResumed()
    }

    /** Discards a partial event, which no further bytes will complete. */
    public fun onRunEnded(): Unit = framer.reset()

    /** Returns what [bytes] of the current run add to the stream; must not be called after a fault of the run. */
    public fun read(bytes: ByteArray): StreamPart {
        val accepted = ArrayList<ByteArray>()
        val eventsBefore = runEvents
        var fault: StreamFault? = null
        for (event in framer.feed(bytes)) {
            fault = faultOf(event, accepted)
            if (fault != null) break
        }
        if (fault == null && framer.isOversized) fault = StreamFault.ANSWER_TOO_LARGE
        return StreamPart(joined(accepted), runEvents - eventsBefore, fault)
    }

    /** Adds [event] to [accepted] if it is passed on, and returns the fault with which it ends the run, if any. */
    private fun faultOf(
        event: FramedEvent,
        accepted: MutableList<ByteArray>,
    ): StreamFault? {
        if (event.isComment) {
            if (runEvents > 0) accepted += event.bytes
            return skip(event)
        }
        if (event.isMalformed) return StreamFault.NOT_AN_EVENT
        when (position.accept(event.id)) {
            EventVerdict.DUPLICATE -> return skip(event)
            EventVerdict.GAP -> return StreamFault.EVENT_MISSING
            EventVerdict.FORWARD -> accepted += event.bytes
        }
        runEvents++
        onProgress()
        return null
    }

    private fun onProgress() {
        skippedBytes = 0
        skippedEvents = 0
    }

    private fun skip(event: FramedEvent): StreamFault? {
        skippedBytes += event.bytes.size
        skippedEvents++
        val isWithinLimits = skippedBytes <= settings.maxSkippedBytes && skippedEvents <= settings.maxSkippedEvents
        return if (isWithinLimits) null else StreamFault.NO_PROGRESS
    }

    private fun joined(parts: List<ByteArray>): ByteArray {
        parts.singleOrNull()?.let { return it }
        val whole = ByteArray(parts.sumOf { it.size })
        var end = 0
        for (part in parts) {
            part.copyInto(whole, end)
            end += part.size
        }
        return whole
    }
}
