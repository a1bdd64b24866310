package oriolespindle.router.relay

import oriolespindle.core.crash.EndpointProcess
import oriolespindle.core.failover.EndedEndpoints
import oriolespindle.core.failover.EndpointProbes
import oriolespindle.core.failover.FailoverSettings
import oriolespindle.core.failover.Finding
import oriolespindle.core.failover.MovePolicy
import oriolespindle.core.failover.ProbeAnswer
import oriolespindle.core.failover.ProbeCause
import oriolespindle.core.failover.ProbeVerdict
import oriolespindle.core.failover.StreamState
import oriolespindle.core.id.InstanceId
import oriolespindle.core.relay.RegistrationState
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.router.http.Address
import oriolespindle.router.http.ProbeResult
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow
import java.util.concurrent.ScheduledFuture
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Finds endpoints that have ended by probes, and moves the streams of this instance that depend on them.
 *
 * It serves streams of services with a model on routes that state a maximum gap between events. Confined to the event
 * loop.
 */
internal class EndpointFailover(
    private val context: RelayContext,
    private val instance: InstanceId,
    private val settings: FailoverSettings = FailoverSettings(),
) {
    private class Found(
        val endpoint: RelayEndpoint,
        val cause: ProbeCause,
    )

    private val probes = EndpointProbes(settings)
    private val known = EndedEndpoints(settings)
    private val policy = MovePolicy(settings)

    /** The processes that were found ended and whose streams are moved together. */
    private val gathered = LinkedHashMap<EndpointProcess, Found>()
    private var share: (PeerHint) -> Unit = {}
    private var silenceTimer: ScheduledFuture<*>? = null

    /** Starts to look again at endpoints that were found ended; [share] tells the other instances of the zone. */
    fun start(share: (PeerHint) -> Unit) {
        this.share = share
        context.timers.every(CHECK_INTERVAL, ::checkEnded)
    }

    /** Looks for silent streams from now on until none is left; one timer serves all streams. */
    fun watchSilence() {
        if (silenceTimer == null) silenceTimer = context.timers.every(SILENCE_CHECK_INTERVAL, ::checkSilence)
    }

    private fun checkSilence() {
        val now = monotonicNow()
        context.streams.toList().forEach { it.probeIfSilent(now) }
        if (context.streams.isNotEmpty()) return
        silenceTimer?.cancel(false)
        silenceTimer = null
    }

    /** Probes [endpoint] because of [cause], unless that was done a moment ago or its end is no fault. */
    fun probe(
        endpoint: RelayEndpoint,
        cause: ProbeCause,
    ) {
        val now = monotonicNow()
        if (!isInUse(endpoint) || !probes.isDue(now, endpoint.process, cause)) return
        probes.onStarted(now, endpoint.process)
        ask(endpoint, cause)
    }

    /** Probes the endpoint that another instance has found ended, since the links of that instance may be at fault. */
    fun onHint(hint: PeerHint.Ended) {
        val endpoint = context.directory.find(hint.process.endpoint)?.takeIf { it.process == hint.process } ?: return
        if (context.configuration.current?.limitsEventGap(endpoint.service) != true) return
        if (known.onHint(monotonicNow(), hint.process)) probe(endpoint, ProbeCause.HINT)
    }

    /** Whether [stream] may be moved from an endpoint because of [finding]. */
    fun mayMove(
        finding: Finding,
        stream: StreamState,
    ): Boolean = policy.mayMove(finding, stream)

    private fun ask(
        endpoint: RelayEndpoint,
        cause: ProbeCause,
    ) = context.http.probe(Address.parse(endpoint.address), settings.probeTimeout) { onResult(endpoint, cause, it) }

    private fun onResult(
        endpoint: RelayEndpoint,
        cause: ProbeCause,
        result: ProbeResult,
    ) {
        when (probes.onAnswer(endpoint.process, answerOf(result))) {
            ProbeVerdict.LISTENS -> onListening(endpoint)
            ProbeVerdict.ASK_AGAIN -> context.timers.after(settings.confirmationDelay) { ask(endpoint, cause) }
            ProbeVerdict.ENDED -> onEnded(endpoint, cause)
            ProbeVerdict.SILENT -> onSilent(endpoint, cause)
            ProbeVerdict.UNKNOWN -> EventLog.warn("endpoint cannot be probed", "endpoint" to endpoint.id)
        }
    }

    private fun onListening(endpoint: RelayEndpoint) {
        context.directory.onListening(endpoint)
        if (!known.forget(endpoint.process)) return
        EventLog.info("endpoint listens again", "endpoint" to endpoint.id, "started_at" to endpoint.startedAt)
    }

    private fun onEnded(
        endpoint: RelayEndpoint,
        cause: ProbeCause,
    ) {
        // A process that leaves may close its listener before it has finished its streams.
        if (!isInUse(endpoint)) return
        context.directory.onEnded(endpoint)
        if (gathered.isEmpty()) context.timers.after(settings.gatheringTime, ::moveFromEnded)
        gathered.putIfAbsent(endpoint.process, Found(endpoint, cause))
    }

    /** Reports all ends that were gathered before any stream is moved, so that harmful requests are known by then. */
    private fun moveFromEnded() {
        val all = gathered.values.toList()
        gathered.clear()
        val streams = all.associateWith { found -> context.streams.filter { it.dependsOn(found.endpoint) } }
        val reports = all.associateWith { known.onEnded(monotonicNow(), it.endpoint.process, it.cause) }
        val lastEvents = streams.mapValues { (_, ofFound) -> ofFound.minOfOrNull { it.sinceLastEvent } }
        for (found in all.filter { reports.getValue(it).isNew }) {
            context.metrics.onEndFound(found.cause.code)
            context.losses.onEnded(found.endpoint, streams.getValue(found).mapNotNull { it.sentAttempt() })
            if (reports.getValue(found).tellPeers) share(PeerHint.Ended(found.endpoint.process, instance))
        }
        val ids = all.mapTo(HashSet()) { it.endpoint.id }
        val moved = HashSet<StreamSession>()
        for ((found, ofFound) in streams) {
            moved += ofFound.filter { it !in moved && it.moveFrom(found.endpoint, Finding.ENDED, ids) }
        }
        context.metrics.onStreamsMoved(Finding.ENDED.name.lowercase(), moved.size)
        for ((found, ofFound) in streams) {
            val movedHere = ofFound.count { it in moved }
            if (!reports.getValue(found).isNew && movedHere == 0) continue
            EventLog.info(
                "endpoint found ended",
                "endpoint" to found.endpoint.id,
                "address" to found.endpoint.address,
                "started_at" to found.endpoint.startedAt,
                "cause" to found.cause.code,
                "last_event_ms" to lastEvents[found]?.inWholeMilliseconds,
                "moved" to movedHere,
                "kept" to ofFound.size - movedHere,
            )
        }
    }

    private fun onSilent(
        endpoint: RelayEndpoint,
        cause: ProbeCause,
    ) {
        val isNew = context.directory.onSilent(monotonicNow(), endpoint.id, settings.silentBackoff)
        val streams = context.streams.filter { it.dependsOn(endpoint) }
        val lastEvent = streams.minOfOrNull { it.sinceLastEvent }
        val moved = streams.count { it.moveFrom(endpoint, Finding.SILENT) }
        context.metrics.onStreamsMoved(Finding.SILENT.name.lowercase(), moved)
        if (!isNew && moved == 0) return
        context.metrics.onSilenceFound(cause.code)
        EventLog.info(
            "endpoint found silent",
            "endpoint" to endpoint.id,
            "address" to endpoint.address,
            "started_at" to endpoint.startedAt,
            "cause" to cause.code,
            "last_event_ms" to lastEvent?.inWholeMilliseconds,
            "moved" to moved,
            "kept" to streams.size - moved,
        )
    }

    /** Looks again at ended processes while they are registered, since the probes may have been wrong. */
    private fun checkEnded() {
        for (process in known.processes) {
            val endpoint = context.directory.find(process.endpoint)?.takeIf { it.process == process }
            if (endpoint != null && isInUse(endpoint)) probe(endpoint, ProbeCause.CHECK) else known.forget(process)
        }
    }

    /** Whether this process of [endpoint] is registered and does not leave. */
    private fun isInUse(endpoint: RelayEndpoint): Boolean =
        context.directory.registrationState(monotonicNow(), endpoint) == RegistrationState.IN_USE

    private fun answerOf(result: ProbeResult): ProbeAnswer =
        when (result) {
            ProbeResult.OPEN -> ProbeAnswer.OPEN
            ProbeResult.CLOSED -> ProbeAnswer.CLOSED
            ProbeResult.NO_ANSWER -> ProbeAnswer.NO_ANSWER
            ProbeResult.FAILED -> ProbeAnswer.FAILED
        }

    private companion object {
        /** Less than the shortest silence that is acted upon. */
        val SILENCE_CHECK_INTERVAL = 50.milliseconds

        /** The time between two looks at an ended process; registrations are removed a few seconds after the end. */
        val CHECK_INTERVAL = 1.seconds

        val RelayEndpoint.process: EndpointProcess get() = EndpointProcess(id, startedAt)
    }
}
