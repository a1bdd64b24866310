package oriolespindle.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import oriolespindle.core.contract.Contract
import oriolespindle.core.contract.ContractCodec
import oriolespindle.core.contract.ContractResult

internal const val CONTRACT_KIND = "contract"

internal fun contractCommands(): CliktCommand =
    CommandGroup("contract", "Reads and changes the contracts of teams.")
        .subcommands(ContractGet(), ContractList(), ContractApply(), ContractDiff(), ContractDelete())

private class ContractGet : CtlCommand("get", "Prints the contract of a team.", "contract get team-a") {
    private val team by argument()

    override fun run() {
        val item = client.read(CONTRACT_KIND, team).orFail()
        print(apiJson.encodeToJsonElement(StoredItem.serializer(), item)) { itemTable(item) }
    }
}

private class ContractList : CtlCommand("list", "Lists all contracts.", "--output json contract list") {
    override fun run() {
        val list = client.list(CONTRACT_KIND).orFail()
        print(apiJson.encodeToJsonElement(ItemList.serializer(), list)) { table(list) }
    }

    private fun table(list: ItemList): Table =
        Table(
            listOf("TEAM", "VERSION") + FIELDS.map { it.uppercase() },
            list.items.map { item -> listOf(item.name, "${item.version}") + FIELDS.map { item.value[it].cell() } },
        )

    private companion object {
        val FIELDS = listOf("requestsPerSecond", "tokensPerSecond", "concurrency", "weight")
    }
}

private class ContractApply :
    ApplyCommand(
        "apply",
        "Checks a contract and creates or replaces it.",
        "contract apply --dry-run team-a.json",
    ) {
    private val file by argument(help = "File with the contract, or - for standard input.")

    override fun run() {
        val contract = contractOrFail(readValue(file).toString())
        apply(CONTRACT_KIND, contract.team.value, normalized(contract))
    }
}

private class ContractDiff :
    CtlCommand(
        "diff",
        "Shows the fields in which a file differs from the stored contract.",
        "contract diff team-a.json",
    ) {
    private val file by argument(help = "File with the contract, or - for standard input.")

    override fun run() {
        val text = session.textOrNull(file) ?: fail(ExitCode.USAGE, "file '$file' cannot be read")
        val contract = contractOrFail(text)
        val item = client.read(CONTRACT_KIND, contract.team.value).orFail()
        val stored = ContractCodec.parseOrNull(item.value.toString())?.let(::normalized) ?: item.value
        val differences = differences(stored, normalized(contract))
        print(json(item, differences)) { table(item, differences) }
    }

    private fun differences(
        stored: JsonObject,
        local: JsonObject,
    ): List<Difference> =
        (stored.keys + local.keys)
            .filter { stored[it] != local[it] }
            .map { Difference(it, stored[it], local[it]) }

    private fun json(
        item: StoredItem,
        differences: List<Difference>,
    ): JsonObject =
        buildJsonObject {
            put("name", item.name)
            put("version", item.version)
            putJsonObject("differences") {
                differences.forEach { difference ->
                    putJsonObject(difference.field) {
                        put("stored", difference.stored ?: JsonNull)
                        put("file", difference.local ?: JsonNull)
                    }
                }
            }
        }

    private fun table(
        item: StoredItem,
        differences: List<Difference>,
    ): Any {
        if (differences.isEmpty()) return "no difference from version ${item.version}"
        val rows = differences.map { listOf(it.field, it.stored.cell(), it.local.cell()) }
        return Table(listOf("FIELD", "VERSION ${item.version}", "FILE"), rows)
    }

    private class Difference(
        val field: String,
        val stored: JsonElement?,
        val local: JsonElement?,
    )
}

private class ContractDelete : DeleteCommand("delete", "Deletes the contract of a team.", "contract delete team-a") {
    private val team by argument()

    override fun run() = delete(CONTRACT_KIND, team)
}

private fun CtlCommand.contractOrFail(text: String): Contract =
    when (val result = ContractCodec.parse(text)) {
        is ContractResult.Valid -> {
            result.contract
        }

        is ContractResult.Invalid -> {
            val violations = result.violations.map { FieldViolation(it.field, it.value, it.rule) }
            failWith(ApiResult.Refused("the contract breaks ${violations.size} rules", violations))
        }
    }

/** Returns the contract in the codec's field order and format, so that only semantic differences remain. */
private fun normalized(contract: Contract): JsonObject =
    Json.parseToJsonElement(ContractCodec.encode(contract)).jsonObject
