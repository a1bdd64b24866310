package oriolespindle.core.contract

import oriolespindle.core.id.TeamId

/**
 * Holds the contracts in force, derived from the stored contract objects.
 *
 * If an object is invalid, or claims a key that belongs to a contract with a lower version, the last valid contract of
 * its team stays in force and the object is listed in [faults]. The result depends only on the objects, whatever order
 * the teams arrive in, so that all instances agree on the owner of a key that two contracts claim.
 */
public class ContractRegistry {
    private val entries = mutableMapOf<TeamId, Entry>()
    private var inForce = mapOf<TeamId, Contract>()
    private var byDigest = mapOf<KeyDigest, Contract>()
    private var faults = listOf<ContractFault>()

    /**
     * Adds the stored object of [team] at [version].
     *
     * A version that is not higher than the latest known one is ignored.
     */
    public fun put(
        team: TeamId,
        version: Long,
        json: String,
    ) {
        val known = entries[team]
        if (known != null && version <= known.version) return
        val result = validateName(team, ContractCodec.parse(json))
        val lastValid = inForce[team]?.let { VersionedContract(known!!.lastValidVersion(it), it) }
        entries[team] =
            when (result) {
                is ContractResult.Valid -> {
                    Entry(
                        version,
                        VersionedContract(version, result.contract),
                        lastValid,
                        emptyList(),
                    )
                }

                is ContractResult.Invalid -> {
                    Entry(version, null, lastValid, result.violations)
                }
            }
        resolveKeyConflicts()
    }

    /** Ends the contract of [team], whose object was deleted at [version]. */
    public fun remove(
        team: TeamId,
        version: Long,
    ) {
        val known = entries[team]
        if (known != null && version <= known.version) return
        entries[team] = Entry(version, null, null, emptyList())
        resolveKeyConflicts()
    }

    /** Returns the contract in force for [team], or null if there is none. */
    public fun contract(team: TeamId): Contract? = inForce[team]

    /** Returns the contract that a key with [digest] belongs to, or null if there is none. */
    public fun contract(digest: KeyDigest): Contract? = byDigest[digest]

    /** Returns all contracts in force. */
    public fun contracts(): Collection<Contract> = inForce.values

    /** Returns the latest objects that are not in force, sorted by team name. */
    public fun faults(): List<ContractFault> = faults

    private fun validateName(
        team: TeamId,
        result: ContractResult,
    ): ContractResult {
        if (result !is ContractResult.Valid || result.contract.team == team) return result
        val violation = Violation("team", result.contract.team.value, "must be the name of the object, $team")
        return ContractResult.Invalid(listOf(violation))
    }

    private fun resolveKeyConflicts() {
        val chosen = mutableMapOf<TeamId, VersionedContract>()
        val conflicts = mutableMapOf<TeamId, List<Violation>>()
        for ((team, entry) in entries) {
            val contract = entry.latest ?: entry.lastValid
            if (contract != null) chosen[team] = contract
        }
        // Each round replaces or drops one chosen contract, so the loop ends after at most two rounds for each team.
        while (true) {
            val (team, violations) = firstConflict(chosen.values) ?: break
            val entry = entries.getValue(team)
            if (chosen[team] === entry.latest) conflicts[team] = violations
            val lastValid = entry.lastValid.takeIf { chosen[team] !== entry.lastValid }
            if (lastValid != null) chosen[team] = lastValid else chosen.remove(team)
        }
        inForce = chosen.mapValues { it.value.contract }
        byDigest = inForce.values.flatMap { c -> c.keyDigests.map { it to c } }.toMap()
        faults =
            entries
                .map { (team, entry) ->
                    ContractFault(team, entry.version, entry.violations + conflicts[team].orEmpty())
                }.filter { it.violations.isNotEmpty() }
                .sortedBy { it.team.value }
    }

    private fun firstConflict(chosen: Collection<VersionedContract>): Conflict? {
        val owners = mutableMapOf<KeyDigest, TeamId>()
        for ((_, contract) in chosen.sortedWith(compareBy({ it.version }, { it.contract.team.value }))) {
            val violations =
                contract.keyDigests.mapNotNull { digest ->
                    owners[digest]?.let { Violation("keyDigests", digest.value, "already belongs to team $it") }
                }
            if (violations.isNotEmpty()) return Conflict(contract.team, violations)
            contract.keyDigests.forEach { owners[it] = contract.team }
        }
        return null
    }

    private data class VersionedContract(
        val version: Long,
        val contract: Contract,
    )

    private data class Conflict(
        val team: TeamId,
        val violations: List<Violation>,
    )

    /** The latest object of a team: its contract if it is valid, and the contract that was in force before it. */
    private class Entry(
        val version: Long,
        val latest: VersionedContract?,
        val lastValid: VersionedContract?,
        val violations: List<Violation>,
    ) {
        fun lastValidVersion(inForce: Contract): Long =
            if (latest?.contract === inForce) latest.version else checkNotNull(lastValid).version
    }
}

/** The latest object of [team], which is not in force because of [violations]. */
public data class ContractFault(
    public val team: TeamId,
    public val version: Long,
    public val violations: List<Violation>,
)
