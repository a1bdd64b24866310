package oriolespindle.router.request

import oriolespindle.core.crash.Admission
import oriolespindle.core.crash.Fingerprint
import oriolespindle.core.id.EndpointId
import kotlin.time.Duration

/** Endpoints to avoid because they run other crash suspects; if [isStrict], the request waits for another one. */
internal class Isolation(
    val avoid: Set<EndpointId>,
    val isStrict: Boolean,
)

/** Delays or refuses one request as the crash guard decides; a request that is not [isActive] is dropped. */
internal class SuspectGate(
    private val context: RequestContext,
    private val crashes: CrashCheck,
    private val fingerprint: Fingerprint,
    private val isActive: () -> Boolean,
) {
    /** Calls [onAdmitted], now or later, with the endpoints to avoid, or [onRefused] if the request causes crashes. */
    fun admit(
        onRefused: () -> Unit,
        onAdmitted: (Isolation) -> Unit,
    ) {
        if (!isActive()) return
        when (val admission = crashes.admit(fingerprint)) {
            is Admission.Free -> onAdmitted(Isolation(emptySet(), isStrict = false))
            is Admission.Refuse -> onRefused()
            is Admission.Isolate -> isolate(admission, onRefused, onAdmitted)
        }
    }

    private fun isolate(
        admission: Admission.Isolate,
        onRefused: () -> Unit,
        onAdmitted: (Isolation) -> Unit,
    ) {
        if (admission.wait > Duration.ZERO) {
            context.continueAfter(admission.wait) { admit(onRefused, onAdmitted) }
        } else {
            onAdmitted(Isolation(admission.avoid, admission.strict))
        }
    }
}
