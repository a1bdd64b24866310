package oriolespindle.core.crash

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * Identifies requests that crash every endpoint that runs them, and refuses them.
 *
 * The requests in flight at a crash become suspects and are retried on endpoints without other suspects. A suspect is
 * cleared when a request with its fingerprint completes anywhere, since a request that crashes endpoints never
 * completes. A request that is in flight at a second crash waits until the evidence of peers has arrived, and is
 * refused if no other suspect has as many crashes. If others have as many, they run one after the other, and the third
 * crash identifies the request. The other suspects of a crash with an identified cause are no longer suspected.
 *
 * ```
 * if (guard.admit(now, fingerprint) == Admission.Free) guard.onStarted(now, fingerprint, chain)
 * guard.onCrash(now, endpoint)                                   // once for each crash
 * guard.onFinished(now, fingerprint, chain, complete = false)    // for each request that the crash ended
 * peers.send(guard.evidence(sentRevision))                       // whenever guard.revision has increased
 * ```
 *
 * A request crashes at most three endpoints if evidence reaches the other instances before the caller's retry does, and
 * if one copy of the request runs at a time. If instances cannot reach each other, the bound applies to each of them
 * separately.
 */
public class CrashGuard(
    private val settings: CrashSettings,
    private val self: InstanceId,
) {
    private val inFlight = HashMap<EndpointId, HashMap<Fingerprint, Int>>()
    private val records = CrashRecords(settings)

    /** When admission was first requested for a request that was in flight at several crashes; removed at its start. */
    private val firstAdmissionAt = HashMap<Fingerprint, Timestamp>()
    private var sequence = 0L

    /** Increases when the evidence changes; peers are sent the changes since the last revision that they received. */
    public val revision: Long get() = records.revision

    /** Records that a request is about to be sent to [endpoints]. */
    public fun onStarted(
        now: Timestamp,
        fingerprint: Fingerprint,
        endpoints: Collection<EndpointId>,
    ) {
        records.expire(now)
        firstAdmissionAt.remove(fingerprint)
        endpoints.forEach { inFlight.getOrPut(it) { HashMap() }.merge(fingerprint, 1, Int::plus) }
    }

    /**
     * Records that a request no longer runs on [endpoints]; [complete] is true if its whole answer arrived.
     *
     * After a crash, call [onCrash] first, then this function for each request that it ended, with [complete] false.
     */
    public fun onFinished(
        now: Timestamp,
        fingerprint: Fingerprint,
        endpoints: Collection<EndpointId>,
        complete: Boolean,
    ) {
        records.expire(now)
        endpoints.forEach { inFlight[it]?.computeIfPresent(fingerprint) { _, count -> (count - 1).takeIf { it > 0 } } }
        if (complete) records.clear(fingerprint)
    }

    /** Records a crash of [endpoint]; the requests in flight on it become suspects. */
    public fun onCrash(
        now: Timestamp,
        endpoint: EndpointId,
    ): CrashVerdict {
        val inFlightRequests =
            inFlight
                .remove(endpoint)
                ?.keys
                .orEmpty()
                .toSet()
        if (inFlightRequests.isEmpty()) return CrashVerdict(emptySet(), emptySet())
        val id = CrashId(self, sequence++)
        val evidence = CrashEvidence(setOf(id), endpoint, inFlightRequests.map { Suspect(it, cleared = false) })
        val record = checkNotNull(records.merge(now, evidence)) { "crash $id is already recorded" }
        return CrashVerdict(inFlightRequests, identifyCauses(record))
    }

    /** Returns whether a request may start now and which endpoints it must avoid, or that it must be refused. */
    public fun admit(
        now: Timestamp,
        fingerprint: Fingerprint,
    ): Admission {
        val crashes = records.attributableCrashes(fingerprint)
        if (crashes.isEmpty()) return Admission.Free
        if (isCause(now, fingerprint, crashes)) {
            records.attributeCrashes(fingerprint)
            firstAdmissionAt.remove(fingerprint)
            return Admission.Refuse
        }
        return Admission.Isolate(
            endpointsToAvoid(fingerprint),
            admissionDelay(now, fingerprint, crashes),
            strict = crashes.size > 1,
        )
    }

    /** Returns the requests that were identified as causing crashes, for the status shown to operators. */
    public fun identifiedCauses(): Set<Fingerprint> = records.causes()

    /**
     * Clears [fingerprint] at the request of an operator, here and, through the evidence, at the peers.
     *
     * A request that was identified by mistake is refused and thus never completes, so nothing else would clear it.
     */
    public fun release(fingerprint: Fingerprint) {
        records.clear(fingerprint)
    }

    /** Returns the evidence on all crashes that changed after revision [since]. */
    public fun evidence(since: Long = 0): List<CrashEvidence> = records.changedSince(since).map { it.evidence() }

    /** Merges the evidence of a peer, which may arrive repeatedly and in any order. */
    public fun merge(
        now: Timestamp,
        evidence: List<CrashEvidence>,
    ) {
        records.expire(now)
        evidence.mapNotNull { records.merge(now, it) }.forEach { identifyCauses(it) }
    }

    private fun identifyCauses(record: CrashRecord): Set<Fingerprint> {
        val causes = record.suspects.keys.filterTo(HashSet()) { isCertainCause(it, records.attributableCrashes(it)) }
        causes.forEach(records::attributeCrashes)
        return causes
    }

    private fun isCertainCause(
        fingerprint: Fingerprint,
        crashes: List<CrashRecord>,
    ): Boolean = crashes.size >= CrashSettings.MAX_CRASHES || crashes.any { it.cause == fingerprint }

    private fun isCause(
        now: Timestamp,
        fingerprint: Fingerprint,
        crashes: List<CrashRecord>,
    ): Boolean {
        if (isCertainCause(fingerprint, crashes)) return true
        if (crashes.size < 2) return false
        val latest = crashes.maxBy { it.learnedAt }
        val hasEvidenceArrived = now - latest.learnedAt >= settings.evidenceDelay
        val isMassCrash = records.endpointsAround(latest) >= settings.minMassCrashEndpoints
        return hasEvidenceArrived && !isMassCrash && candidateCauses(latest, crashes.size).size == 1
    }

    /** Returns the suspects of [record], sorted, that were in flight at [minCrashes] crashes or more. */
    private fun candidateCauses(
        record: CrashRecord,
        minCrashes: Int,
    ): List<Fingerprint> =
        record.suspects.keys
            .filter { records.attributableCrashes(it).size >= minCrashes }
            .sorted()

    private fun admissionDelay(
        now: Timestamp,
        fingerprint: Fingerprint,
        crashes: List<CrashRecord>,
    ): Duration {
        if (records.crashesInvolving(fingerprint).size < 2) return Duration.ZERO
        val latest = crashes.maxBy { it.learnedAt }
        val turn = candidateCauses(latest, crashes.size).indexOf(fingerprint)
        // Another instance may have just refused the request, and the evidence of that crash may still be in transit.
        val first = firstAdmissionAt.getOrPut(fingerprint) { now }
        val start = maxOf(latest.learnedAt + settings.trialInterval * turn, first) + settings.evidenceDelay
        return (start - now).coerceIn(Duration.ZERO, settings.evidenceDelay)
    }

    private fun endpointsToAvoid(fingerprint: Fingerprint): Set<EndpointId> =
        inFlight
            .filterValues { running ->
                running.keys.any { it != fingerprint && records.isSuspect(it) }
            }.keys
            .toSet()
}
