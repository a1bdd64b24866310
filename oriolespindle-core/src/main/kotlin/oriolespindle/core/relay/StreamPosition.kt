package oriolespindle.core.relay

/** What to do with one event of a stream. */
public enum class EventVerdict {
    /** Pass it on. */
    FORWARD,

    /** It was passed on before. */
    DUPLICATE,

    /** An event before it is missing, so the stream must not go on. */
    GAP,
}

/**
 * The position of a caller in its stream, over all runs that have contributed to it.
 *
 * Within one run ids may have gaps of their own; where a run was joined to another, an id must be followed by the next.
 */
public class StreamPosition(
    /** The last event that the caller already had when it asked, or null at the start of the stream. */
    startAfter: Long?,
) {
    /** The last event that was passed on, or that the caller had before. */
    public var last: Long? = startAfter
        private set

    private var isJoining = false

    /** A new run goes on after [last]. */
    public fun onResumed() {
        isJoining = true
    }

    /** Returns what to do with the event [id] and moves on if it is passed on. */
    public fun accept(id: Long?): EventVerdict {
        val previous = last
        if (id == null) return if (isJoining) EventVerdict.GAP else EventVerdict.FORWARD
        if (previous != null && id <= previous) return EventVerdict.DUPLICATE
        if (isJoining && previous != null && id != previous + 1) return EventVerdict.GAP
        isJoining = false
        last = id
        return EventVerdict.FORWARD
    }
}
