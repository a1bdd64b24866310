package oriolespindle.ctl

import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

private const val BASED_ON_HELP = "Version that the change is based on; any other stored version is a conflict."

/** A command that creates or replaces an object. */
internal abstract class ApplyCommand(
    name: String,
    summary: String,
    example: String,
) : CtlCommand(name, summary, example) {
    private val basedOn by option("--based-on", help = BASED_ON_HELP).long()
    private val dryRun by option("--dry-run", help = "Print what would change without changing it.").flag()

    protected fun readValue(file: String): JsonObject {
        val text = session.textOrNull(file) ?: fail(ExitCode.USAGE, "file '$file' cannot be read")
        return jsonOrNull(text) ?: fail(ExitCode.REFUSED, "'$file' is not one JSON object")
    }

    protected fun apply(
        kind: String,
        name: String,
        value: JsonObject,
    ) {
        val result = ObjectChange(client, kind, name).apply(value, basedOn, dryRun).orFail()
        print(json(kind, name, result)) { text("$kind/$name", result) }
    }

    private fun jsonOrNull(text: String): JsonObject? =
        try {
            Json.parseToJsonElement(text) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

    private fun json(
        kind: String,
        name: String,
        result: ChangeResult,
    ): JsonObject =
        buildJsonObject {
            put("kind", kind)
            put("name", name)
            when (result) {
                is ChangeResult.Written -> {
                    put("result", if (result.previous == null) "created" else "replaced")
                    put("previous", result.previous)
                    put("version", result.item.version)
                }

                is ChangeResult.Unchanged -> {
                    put("result", "unchanged")
                    put("version", result.version)
                }

                is ChangeResult.WouldWrite -> {
                    put("result", if (result.previous == null) "would_create" else "would_replace")
                    put("previous", result.previous)
                }
            }
        }

    private fun text(
        key: String,
        result: ChangeResult,
    ): String =
        when (result) {
            is ChangeResult.Written -> "$key ${writtenText(result)}"
            is ChangeResult.Unchanged -> "$key unchanged at version ${result.version}"
            is ChangeResult.WouldWrite -> "$key ${wouldWriteText(result)}; the router's own rules were not asked"
        }

    private fun writtenText(result: ChangeResult.Written): String {
        val version = result.item.version ?: "unknown"
        return if (result.previous == null) {
            "created at version $version"
        } else {
            "replaced version ${result.previous}, now at version $version"
        }
    }

    private fun wouldWriteText(result: ChangeResult.WouldWrite): String =
        if (result.previous == null) "would be created" else "would replace version ${result.previous}"
}

/** A command that deletes an object. */
internal abstract class DeleteCommand(
    name: String,
    summary: String,
    example: String,
) : CtlCommand(name, summary, example) {
    private val basedOn by option("--based-on", help = BASED_ON_HELP).long()

    protected fun delete(
        kind: String,
        name: String,
    ) {
        val written = ObjectChange(client, kind, name).delete(basedOn).orFail()
        print(apiJson.encodeToJsonElement(WrittenItem.serializer(), written)) {
            "$kind/$name deleted" + written.version?.let { ", revision $it" }.orEmpty()
        }
    }
}
