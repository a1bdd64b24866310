package oriolespindle.core.failover

import oriolespindle.core.crash.EndpointProcess
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration.Companion.seconds

/** Why an endpoint is probed; [code] is its name in logs and metrics. */
public enum class ProbeCause(
    public val code: String,
) {
    /** The first engine of a path refused a request and named another engine. */
    REFUSAL("refusal"),

    /** An attempt at the endpoint broke off, or no connection could be opened for it. */
    BREAK("break"),

    /** Another instance has found that the endpoint has ended. */
    HINT("hint"),

    /** A stream with the endpoint on its path had no event for some time. */
    SILENCE("silence"),

    /** The endpoint was found ended, and its registration has not been removed yet. */
    CHECK("check"),
}

/** How an address reacted when a connection was opened. */
public enum class ProbeAnswer {
    OPEN,

    /** The host refused or closed the connection, so nothing listens. */
    CLOSED,
    NO_ANSWER,

    /** The connection failed for a reason that may lie with this instance. */
    FAILED,
}

/** What the answers to the probes of a process mean. */
public enum class ProbeVerdict {
    LISTENS,

    /** The process may have ended; it has to be asked again after [FailoverSettings.confirmationDelay]. */
    ASK_AGAIN,
    ENDED,
    SILENT,
    UNKNOWN,
}

/**
 * Decides when the process of an endpoint is probed and what the answers mean.
 *
 * One refused connection is no proof, since a listener with a full queue may refuse one. Confined to one thread.
 */
public class EndpointProbes(
    private val settings: FailoverSettings = FailoverSettings(),
) {
    private class Probe(
        val startedAt: Timestamp,
    ) {
        var isRunning = true
        var refusals = 0
    }

    private val probes = LinkedHashMap<EndpointProcess, Probe>()
    private val silenceBudget = ProbeBudget(settings.silenceProbesPerSecond, settings.silenceProbeBurst)

    /** Returns whether [process] may be probed at [now] because of [cause]; the caller then calls [onStarted]. */
    public fun isDue(
        now: Timestamp,
        process: EndpointProcess,
        cause: ProbeCause,
    ): Boolean {
        val last = probes[process]
        val isDue = last == null || now - last.startedAt >= if (last.isRunning) MAX_RUNNING else settings.probeInterval
        return isDue && (cause != ProbeCause.SILENCE || silenceBudget.take(now))
    }

    /** Records that a probe of [process] starts. */
    public fun onStarted(
        now: Timestamp,
        process: EndpointProcess,
    ) {
        // Entries are in the order of their starts, so the expired ones come first.
        probes.entries.removeIf { now - it.value.startedAt > MAX_RUNNING }
        probes.remove(process)
        probes[process] = Probe(now)
    }

    /** Returns what the [answer] to a probe of [process] means. */
    public fun onAnswer(
        process: EndpointProcess,
        answer: ProbeAnswer,
    ): ProbeVerdict {
        val probe = probes[process] ?: return ProbeVerdict.UNKNOWN
        if (answer == ProbeAnswer.CLOSED && ++probe.refusals < NEEDED_REFUSALS) return ProbeVerdict.ASK_AGAIN
        probe.isRunning = false
        return when (answer) {
            ProbeAnswer.OPEN -> ProbeVerdict.LISTENS
            ProbeAnswer.CLOSED -> ProbeVerdict.ENDED
            ProbeAnswer.NO_ANSWER -> ProbeVerdict.SILENT
            ProbeAnswer.FAILED -> ProbeVerdict.UNKNOWN
        }
    }

    private companion object {
        const val NEEDED_REFUSALS = 2

        /** Much longer than two timeouts of a probe, so that a probe without a result does not block others forever. */
        val MAX_RUNNING = 2.seconds
    }
}
