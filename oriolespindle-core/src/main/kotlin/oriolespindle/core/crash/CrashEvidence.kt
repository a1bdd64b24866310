package oriolespindle.core.crash

import kotlinx.serialization.Serializable
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import kotlin.time.Duration

/** One instance's observation of a crash; [sequence] numbers the observations of [observer]. */
@Serializable
public data class CrashId(
    public val observer: InstanceId,
    public val sequence: Long,
)

/** A request that was in flight at a crash; [cleared] is true once a request with this fingerprint has completed. */
@Serializable
public data class Suspect(
    public val fingerprint: Fingerprint,
    public val cleared: Boolean,
)

/**
 * The knowledge of an instance about one crash, which it sends to its peers.
 *
 * Merging is idempotent and commutative. [cause] is the request that was identified as the cause, or null.
 */
@Serializable
public data class CrashEvidence(
    public val ids: Set<CrashId>,
    public val endpoint: EndpointId,
    public val suspects: List<Suspect>,
    public val cause: Fingerprint? = null,
)

/** The result of a crash: [suspects] were in flight, and [causes] are now identified as causing crashes. */
public data class CrashVerdict(
    public val suspects: Set<Fingerprint>,
    public val causes: Set<Fingerprint>,
)

/** The decision whether and where a request may start. */
public sealed interface Admission {
    /** The request is not suspected. */
    public data object Free : Admission

    /**
     * The request was in flight at a crash and must run on endpoints that run no other suspects.
     *
     * If [wait] is not zero, admission must be requested again after it. Otherwise the request starts on endpoints that
     * are not in [avoid]. If there are none, a [strict] request must wait and request admission again, while any other
     * request may start on any endpoint.
     */
    public data class Isolate(
        public val avoid: Set<EndpointId>,
        public val wait: Duration = Duration.ZERO,
        public val strict: Boolean = false,
    ) : Admission

    /** The request was identified as causing crashes and is refused with a final answer. */
    public data object Refuse : Admission
}
