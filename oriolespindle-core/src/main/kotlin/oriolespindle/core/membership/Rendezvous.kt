package oriolespindle.core.membership

import com.dynatrace.hash4j.hashing.Hashing
import oriolespindle.core.id.InstanceId

/**
 * Chooses a few instances for a duty without a message between them.
 *
 * Instances with the same view compute the same order, and one that joins or leaves moves the others by at most one
 * place. [duty] names what is distributed, so that different duties fall on different instances.
 */
public class Rendezvous(
    duty: String,
) {
    private val hasher = Hashing.wyhashFinal4(Hashing.wyhashFinal4().hashCharsToLong(duty))

    /** Returns how many of [others] come before [self]; 0 means that [self] is the first choice. */
    public fun rank(
        self: InstanceId,
        others: Collection<InstanceId>,
    ): Int {
        val own = score(self)
        return others.count { it != self && ranksBefore(it, self, own) }
    }

    /**
     * Returns the rank of [self] among the reachable [members], or null when it is not among the first [maxCandidates].
     *
     * Candidates for a lease are the first few ranks, so that a few instances of a large fleet read the lease object.
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
