package oriolespindle.core.crash

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp

/** One crash as known to this instance; [suspects] maps each fingerprint to whether it has been cleared. */
internal class CrashRecord(
    val endpoint: EndpointId,
    val learnedAt: Timestamp,
) {
    val ids = HashSet<CrashId>()
    val suspects = HashMap<Fingerprint, Boolean>()
    var cause: Fingerprint? = null
    var revision = 0L

    /** Returns whether [fingerprint] was in flight at the crash and has not been cleared. */
    fun hasSuspect(fingerprint: Fingerprint): Boolean = suspects[fingerprint] == false

    /** Returns whether the crash has been attributed to another request. */
    fun hasOtherCause(fingerprint: Fingerprint): Boolean = cause != null && cause != fingerprint

    fun evidence(): CrashEvidence =
        CrashEvidence(
            ids.toSet(),
            endpoint,
            suspects.map { (fingerprint, cleared) ->
                Suspect(fingerprint, cleared)
            },
            cause,
        )
}

/** The crashes within [CrashSettings.retention], by fingerprint; merging is commutative and idempotent. */
internal class CrashRecords(
    private val settings: CrashSettings,
) {
    private val records = ArrayList<CrashRecord>()
    private val byFingerprint = HashMap<Fingerprint, MutableList<CrashRecord>>()

    var revision = 0L
        private set

    fun causes(): Set<Fingerprint> = records.mapNotNullTo(HashSet()) { it.cause }

    fun changedSince(revision: Long): List<CrashRecord> = records.filter { it.revision > revision }

    /**
     * Returns the crashes that [fingerprint] may have caused.
     *
     * A crash that is attributed to another request is not among them, unless [fingerprint] was in flight at so many
     * crashes that the other request must have been identified by mistake.
     */
    fun attributableCrashes(fingerprint: Fingerprint): List<CrashRecord> {
        val crashes = crashesInvolving(fingerprint)
        if (crashes.size >= CrashSettings.MAX_CRASHES) return crashes
        return crashes.filterNot { it.hasOtherCause(fingerprint) }
    }

    /** Returns the crashes at which [fingerprint] was in flight, whatever their cause; none if it was cleared. */
    fun crashesInvolving(fingerprint: Fingerprint): List<CrashRecord> =
        byFingerprint[fingerprint]?.filter { it.hasSuspect(fingerprint) }.orEmpty()

    /** Returns whether [attributableCrashes] is not empty, without building the list. */
    fun isSuspect(fingerprint: Fingerprint): Boolean {
        val crashes = byFingerprint[fingerprint] ?: return false
        return crashes.any { it.hasSuspect(fingerprint) && !it.hasOtherCause(fingerprint) }
    }

    /** Returns the number of endpoints that crashed around the time of [record], including its own. */
    fun endpointsAround(record: CrashRecord): Int =
        records
            .filter { (it.learnedAt - record.learnedAt).absoluteValue <= settings.sameCrashWindow }
            .mapTo(HashSet()) { it.endpoint }
            .size

    /** Returns the record that [evidence] changed, or null if it contains nothing new. */
    fun merge(
        now: Timestamp,
        evidence: CrashEvidence,
    ): CrashRecord? {
        val record = findRecord(now, evidence) ?: CrashRecord(evidence.endpoint, now).also { records += it }
        var changed = record.ids.addAll(evidence.ids)
        for (suspect in evidence.suspects) {
            val known = record.suspects[suspect.fingerprint]
            if (known == null) byFingerprint.getOrPut(suspect.fingerprint) { ArrayList() } += record
            val cleared = known == true || suspect.cleared
            if (known != cleared) changed = true
            record.suspects[suspect.fingerprint] = cleared
        }
        val cause = evidence.cause
        if (cause != null && record.cause == null && record.suspects[cause] == false) {
            record.cause = cause
            changed = true
        }
        if (!changed) return null
        markChanged(record)
        return record
    }

    fun clear(fingerprint: Fingerprint) {
        for (record in byFingerprint[fingerprint].orEmpty()) {
            if (record.suspects.put(fingerprint, true) == true) continue
            if (record.cause == fingerprint) record.cause = null
            markChanged(record)
        }
    }

    /** Attributes all crashes that [fingerprint] may have caused to it, which ends the suspicion of other requests. */
    fun attributeCrashes(fingerprint: Fingerprint) {
        for (record in attributableCrashes(fingerprint)) {
            if (record.cause != null) continue
            record.cause = fingerprint
            markChanged(record)
        }
    }

    fun expire(now: Timestamp) {
        val first = records.firstOrNull() ?: return
        if (now - first.learnedAt <= settings.retention) return
        val expired = records.filter { now - it.learnedAt > settings.retention }
        records.removeAll(expired.toSet())
        for (fingerprint in expired.flatMap { it.suspects.keys }) {
            val remaining = byFingerprint[fingerprint] ?: continue
            remaining.removeAll(expired.toSet())
            if (remaining.isEmpty()) byFingerprint.remove(fingerprint)
        }
    }

    private fun findRecord(
        now: Timestamp,
        evidence: CrashEvidence,
    ): CrashRecord? =
        records.firstOrNull { record -> evidence.ids.any { it in record.ids } }
            ?: records.lastOrNull { it.endpoint == evidence.endpoint && now - it.learnedAt <= settings.sameCrashWindow }

    private fun markChanged(record: CrashRecord) {
        revision++
        record.revision = revision
    }
}
