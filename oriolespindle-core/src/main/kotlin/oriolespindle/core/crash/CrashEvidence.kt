package oriolespindle.core.crash

import kotlinx.serialization.Serializable
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import kotlin.time.Duration

/** One instance's observation of a crash; [sequence] counts the observations of [observer]. */
@Serializable
public data class CrashId(
    public val observer: InstanceId,
    public val sequence: Long,
)

/** A request that was in flight at a crash; [cleared] is set once a request of this fingerprint has completed. */
@Serializable
public data class Suspect(
    public val fingerprint: Fingerprint,
    public val cleared: Boolean,
)

/**
 * What an instance knows about one crash, sent to its peers.
 *
 * Merging the same evidence again, or in another order, changes nothing. [cause] is the identified request, if any.
 */
@Serializable
public data class CrashEvidence(
    public val ids: Set<CrashId>,
    public val endpoint: EndpointId,
    public val suspects: List<Suspect>,
    public val cause: Fingerprint? = null,
)

/** What a crash showed: [suspects] were in flight, and [causes] have now been identified as causing crashes. */
public data class CrashVerdict(
    public val suspects: Set<Fingerprint>,
    public val causes: Set<Fingerprint>,
)

/** Whether and how a request may start. */
public sealed interface Admission {
    /** The request is not suspected. */
    public data object Free : Admission

    /**
     * The request was in flight at a crash and runs away from other suspects.
     *
     * If [wait] is not zero, the request is admitted again after it. Otherwise the request starts on endpoints outside
     * [avoid]. If there are none, it is admitted again later when [strict], and runs anywhere when not.
     */
    public data class Isolate(
        public val avoid: Set<EndpointId>,
        public val wait: Duration = Duration.ZERO,
        public val strict: Boolean = false,
    ) : Admission

    /** The request was identified as causing crashes and receives its final answer now. */
    public data object Refuse : Admission
}
