package oriolespindle.router.request

import oriolespindle.core.crash.Admission
import oriolespindle.core.crash.Fingerprint
import oriolespindle.core.id.EndpointId
import kotlin.time.Duration

/** Endpoints that run other requests that were running at a crash. */
internal class Isolation(
    val avoid: Set<EndpointId>,
    val isStrict: Boolean,
)

/** Lets one request run when the crash guard allows it; a request that is no longer [isActive] is forgotten. */
internal class SuspectGate(
    private val context: RequestContext,
    private val crashes: CrashCheck,
    private val fingerprint: Fingerprint,
    private val isActive: () -> Boolean,
) {
    /** Calls [next], now or later, with the endpoints to avoid, or [refused] for a request that causes crashes. */
    fun admit(
        refused: () -> Unit,
        next: (Isolation) -> Unit,
    ) {
        if (!isActive()) return
        when (val admission = crashes.admit(fingerprint)) {
            is Admission.Free -> next(Isolation(emptySet(), isStrict = false))
            is Admission.Refuse -> refused()
            is Admission.Isolate -> isolate(admission, refused, next)
        }
    }

    private fun isolate(
        admission: Admission.Isolate,
        refused: () -> Unit,
        next: (Isolation) -> Unit,
    ) {
        if (admission.wait > Duration.ZERO) {
            context.continueAfter(admission.wait) { admit(refused, next) }
        } else {
            next(Isolation(admission.avoid, admission.strict))
        }
    }
}
