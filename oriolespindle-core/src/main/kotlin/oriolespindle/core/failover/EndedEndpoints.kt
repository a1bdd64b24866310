package oriolespindle.core.failover

import oriolespindle.core.crash.EndpointProcess
import oriolespindle.core.time.Timestamp

/** How the end of a process is reported: once in the log ([isNew]), and to the other instances ([tellPeers]). */
public data class EndReport(
    public val isNew: Boolean,
    public val tellPeers: Boolean,
)

/**
 * Remembers the processes that this instance has found ended, and which of them others know.
 *
 * Only what an instance finds on its own is told, so that one end does not cause a message of each instance in answer
 * to the message of another one. Confined to one thread.
 */
public class EndedEndpoints(
    private val settings: FailoverSettings = FailoverSettings(),
) {
    private val ended = LinkedHashSet<EndpointProcess>()

    /** When other instances reported the ends of processes, in the order of the reports. */
    private val hintedAt = LinkedHashMap<EndpointProcess, Timestamp>()

    /** The processes that were found ended and are not known to listen again. */
    public val processes: List<EndpointProcess> get() = ended.toList()

    /** Records that another instance reports the end of [process]; returns whether this one needs to probe it. */
    public fun onHint(
        now: Timestamp,
        process: EndpointProcess,
    ): Boolean {
        hintedAt.entries.removeIf { now - it.value > settings.hintRetention }
        hintedAt.remove(process)
        hintedAt[process] = now
        return process !in ended
    }

    /** Records that the probes of this instance, made because of [cause], found that [process] has ended. */
    public fun onEnded(
        now: Timestamp,
        process: EndpointProcess,
        cause: ProbeCause,
    ): EndReport {
        val isNew = ended.add(process)
        val isHinted = hintedAt[process]?.let { now - it <= settings.hintRetention } ?: false
        return EndReport(isNew, tellPeers = isNew && !isHinted && cause != ProbeCause.HINT)
    }

    /** Forgets [process], which listens after all or is not registered any more; returns whether it was known. */
    public fun forget(process: EndpointProcess): Boolean = ended.remove(process)
}
