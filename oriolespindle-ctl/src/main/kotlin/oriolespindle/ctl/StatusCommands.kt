package oriolespindle.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

private fun JsonElement?.field(name: String): JsonElement? = (this as? JsonObject)?.get(name)

private fun JsonElement?.elements(): List<JsonElement> = (this as? JsonArray).orEmpty()

/** Returns the stored objects that the instance cannot use; the last valid version of each stays in force. */
private fun unusableObjects(status: JsonObject): List<JsonElement> =
    status["requests"].field("unusableObjects").elements()

/** Returns the newest revision that the instance has in force, or null if the status has none. */
internal fun revisionInForce(status: JsonObject): Long? = status["state"].field("revision").cell().toLongOrNull()

internal class StatusCommand :
    CtlCommand("status", "Prints the state of the instance at the address and what it knows of others.", "status") {
    override fun run() {
        val status = client.status().orFail()
        print(status) { sections(status).joinToString("\n\n") }
    }

    private fun sections(status: JsonObject): List<Any> =
        listOf(
            Table(
                listOf("INSTANCE", "ZONE", "REVISION", "STREAMS"),
                listOf(
                    listOf(
                        status["instance"].cell(),
                        status["zone"].cell(),
                        status["state"].field("revision").cell(),
                        status["requests"].field("streams").cell(),
                    ),
                ),
            ),
            table(status["state"].field("members").elements(), listOf("instance", "zone", "state")),
            table(
                status["requests"].field("models").elements(),
                listOf("model", "chains", "boundTokensPerSecond"),
            ),
            table(unusableObjects(status), listOf("object", "version", "message")),
        )

    private fun table(
        elements: List<JsonElement>,
        fields: List<String>,
    ): Table = Table(fields.map { it.uppercase() }, elements.map { element -> fields.map { element.field(it).cell() } })
}

internal class LimitsCommand :
    CtlCommand("limits", "Prints the limits of a team and whether they are in force.", "limits team-a") {
    private val team by argument()

    override fun run() {
        val contract = client.read(CONTRACT_KIND, team).orFail()
        val status = client.status().orFail()
        val faults = unusableObjects(status).filter { it.field("object").cell() == "$CONTRACT_KIND/$team" }
        print(json(contract, status, faults)) { text(contract, status, faults) }
    }

    private fun json(
        contract: StoredItem,
        status: JsonObject,
        faults: List<JsonElement>,
    ): JsonObject =
        buildJsonObject {
            put("team", team)
            put("version", contract.version)
            put("instance", status["instance"].cell())
            put("inForce", faults.isEmpty())
            put("limits", limits(contract))
            put("faults", JsonArray(faults))
            put("use", usage(status) ?: JsonObject(emptyMap()))
        }

    private fun text(
        contract: StoredItem,
        status: JsonObject,
        faults: List<JsonElement>,
    ): String {
        val instance = status["instance"].cell()
        val usability =
            if (faults.isEmpty()) {
                "version ${contract.version} is usable at instance $instance"
            } else {
                "version ${contract.version} is not usable at instance $instance, the last good one is in force: " +
                    faults.joinToString("; ") { it.field("message").cell() }
            }
        val table =
            Table(
                listOf("LIMIT", "VALUE"),
                limits(contract).map { (name, value) ->
                    listOf(name, value.cell())
                },
            )
        return "$usability\n\n$table\n\n${usageText(status)}"
    }

    private fun usage(status: JsonObject): JsonObject? = status["requests"].field("teams").field(team) as? JsonObject

    private fun usageText(status: JsonObject): String {
        val instance = status["instance"].cell()
        val usage = usage(status) ?: return "no request of the team since instance $instance started"
        val refusals = (usage["refusals"] as? JsonObject).orEmpty().map { (reason, count) -> "$reason ${count.cell()}" }
        return "since instance $instance started: ${usage["done"].cell()} requests done, " +
            "${usage["tokens"].cell()} tokens, refused: ${refusals.joinToString(", ").ifEmpty { "none" }}"
    }

    private fun limits(contract: StoredItem): JsonObject =
        JsonObject(contract.value.filterKeys { it != "team" && it != "keyDigests" })
}
