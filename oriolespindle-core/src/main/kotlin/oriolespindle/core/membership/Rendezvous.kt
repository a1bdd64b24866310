package oriolespindle.core.membership

import com.dynatrace.hash4j.hashing.Hashing
import oriolespindle.core.id.InstanceId

/**
 * Rendezvous hashing: chooses a few instances for a duty without communication between them.
 *
 * Instances with the same view of the members compute the same ranking, and an instance that joins or leaves shifts the
 * rank of the others by at most one. [duty] seeds the hash, so that different duties fall on different instances.
 */
public class Rendezvous(
    duty: String,
) {
    private val hasher = Hashing.wyhashFinal4(Hashing.wyhashFinal4().hashCharsToLong(duty))

    /** Returns the number of [others] that rank before [self]; 0 means that [self] is the first choice. */
    public fun rank(
        self: InstanceId,
        others: Collection<InstanceId>,
    ): Int {
        val own = score(self)
        return others.count { it != self && ranksBefore(it, self, own) }
    }

    /**
     * Returns the rank of [self] among the reachable [members], or null if it is not among the first [maxCandidates].
     *
     * Candidates for a lease are the first few ranks, so that few instances of a large fleet read the lease object.
     */
    public fun rankOrNull(
        self: InstanceId,
        members: List<Member>,
        maxCandidates: Int,
    ): Int? = rank(self, members.filter { it.reachable }.map { it.id }).takeIf { it < maxCandidates }

    private fun ranksBefore(
        other: InstanceId,
        self: InstanceId,
        own: Long,
    ): Boolean {
        val score = score(other)
        return score > own || (score == own && other < self)
    }

    private fun score(instance: InstanceId): Long = hasher.hashCharsToLong(instance.value)
}
