package oriolespindle.router.request

import oriolespindle.core.crash.Admission
import oriolespindle.core.crash.CrashEvidence
import oriolespindle.core.crash.CrashGuard
import oriolespindle.core.crash.CrashSettings
import oriolespindle.core.crash.Fingerprint
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reports the course of completions to the crash guard and exchanges its evidence with other instances. */
internal class CrashCheck(
    private val context: RequestContext,
    private val probe: EndpointProbe,
    private val send: (List<CrashEvidence>) -> Unit,
) {
    private val guard = CrashGuard(CrashSettings(), context.instance)
    private val pendingProbes = HashMap<EndpointId, MutableList<() -> Unit>>()
    private var sentRevision = 0L
    private var resendFrom = 0L
    private var resendDue = Timestamp(Long.MIN_VALUE)

    fun admit(fingerprint: Fingerprint): Admission = guard.admit(context.now(), fingerprint)

    fun onStarted(
        fingerprint: Fingerprint,
        endpoints: Collection<EndpointId>,
    ) = guard.onStarted(context.now(), fingerprint, endpoints)

    fun onFinished(
        fingerprint: Fingerprint,
        endpoints: Collection<EndpointId>,
        complete: Boolean,
    ) = guard.onFinished(context.now(), fingerprint, endpoints, complete)

    /**
     * Probes whether [endpoint] has crashed after a lost connection, and then calls [onChecked].
     *
     * An endpoint that does not answer on a new connection counts as crashed. Connections lost during a probe of the
     * same endpoint share that probe.
     */
    fun onConnectionLost(
        endpoint: EndpointId,
        onChecked: () -> Unit,
    ) {
        val waitingCallbacks = pendingProbes[endpoint]
        if (waitingCallbacks != null) {
            waitingCallbacks += onChecked
            return
        }
        pendingProbes[endpoint] = mutableListOf(onChecked)
        probe.run(listOf(endpoint), PROBE_TIMEOUT) { probed ->
            if (endpoint in probed.silent) onCrash(endpoint)
            pendingProbes.remove(endpoint)?.forEach { it() }
        }
    }

    /** Merges evidence from another instance. */
    fun onEvidence(evidence: List<CrashEvidence>) = guard.merge(context.now(), evidence)

    /** Sends new evidence, and again after [RESEND_DELAY], because messages to peers can be lost. */
    fun tick(now: Timestamp) {
        if (guard.revision > sentRevision) {
            send(guard.evidence(sentRevision))
            sentRevision = guard.revision
            resendDue = now + RESEND_DELAY
        } else if (resendFrom < sentRevision && now >= resendDue) {
            send(guard.evidence(resendFrom))
            resendFrom = sentRevision
        }
    }

    private fun onCrash(endpoint: EndpointId) {
        val verdict = guard.onCrash(context.now(), endpoint)
        EventLog.warn(
            "endpoint crashed",
            "endpoint" to endpoint,
            "suspects" to verdict.suspects.size,
            "causes" to verdict.causes.size,
        )
        tick(context.now())
    }

    private companion object {
        val PROBE_TIMEOUT: Duration = 250.milliseconds
        val RESEND_DELAY: Duration = 1.seconds
    }
}
