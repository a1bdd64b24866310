package oriolespindle.router.request

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.RefusalReason
import java.util.EnumMap

/** Counts requests, tokens and refusals by reason of each team with a contract, since the start of this instance. */
internal class TeamUsage {
    private class Counts {
        var done = 0L
        var tokens = 0L
        val refusals = EnumMap<RefusalReason, Long>(RefusalReason::class.java)
    }

    private val teams = HashMap<TeamId, Counts>()

    fun countDone(team: TeamId) {
        counts(team).done++
    }

    fun countTokens(
        team: TeamId,
        count: Int,
    ) {
        counts(team).tokens += count
    }

    fun countRefusal(
        team: TeamId,
        reason: RefusalReason,
    ) {
        counts(team).refusals.merge(reason, 1, Long::plus)
    }

    /** Removes the teams that are not in [teamsWithContract], so that the number of contracts bounds the memory. */
    fun retain(teamsWithContract: Set<TeamId>) {
        teams.keys.retainAll(teamsWithContract)
    }

    /** Returns the counts by team, sorted by name. */
    fun report(): JsonObject =
        buildJsonObject {
            teams.entries.sortedBy { it.key.value }.forEach { (team, counts) ->
                putJsonObject(team.value) {
                    put("done", counts.done)
                    put("tokens", counts.tokens)
                    putJsonObject("refusals") { counts.refusals.forEach { (reason, n) -> put(reason.code, n) } }
                }
            }
        }

    private fun counts(team: TeamId): Counts = teams.getOrPut(team) { Counts() }
}
