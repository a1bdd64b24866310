package oriolespindle.core.relay

/** How one event of a stream is handled. */
public enum class EventVerdict {
    /** The event is the next one and is forwarded. */
    FORWARD,

    /** The event was forwarded before. */
    DUPLICATE,

    /** The run does not continue the stream: it skips an event, or it has started over. */
    GAP,
}

/**
 * The position of a caller in its stream across all runs that contributed to it.
 *
 * Ids may skip numbers within a run. A resumed run may repeat the last event, and the first one that it adds must have
 * the id after the last one. One that begins earlier has started over, and its events may differ from those before.
 */
public class StreamPosition(
    /** The id of the last event that the caller had received before this request, or null if it had none. */
    startAfter: Long?,
) {
    /** The id of the last event that the caller has received, or null if there is none. */
    public var last: Long? = startAfter
        private set

    private var isJoining = false

    /** Expects the next events from a run that resumes after [last]. */
    public fun onResumed() {
        isJoining = true
    }

    /** Returns how the event [id] is handled, and advances the position if it is forwarded. */
    public fun accept(id: Long?): EventVerdict {
        val previous = last
        if (id == null) return if (isJoining) EventVerdict.GAP else EventVerdict.FORWARD
        if (isJoining && previous != null && id < previous) return EventVerdict.GAP
        if (previous != null && id <= previous) return EventVerdict.DUPLICATE
        if (isJoining && previous != null && id != previous + 1) return EventVerdict.GAP
        isJoining = false
        last = id
        return EventVerdict.FORWARD
    }
}
