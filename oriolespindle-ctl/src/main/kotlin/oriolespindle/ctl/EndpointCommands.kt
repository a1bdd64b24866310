package oriolespindle.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

private const val ENDPOINT_KIND = "endpoint"
private const val DRAIN_KIND = "drain"
private const val DRAINING = "draining"

internal fun endpointCommands(): CliktCommand =
    CommandGroup("endpoint", "Lists endpoints and takes them out of service.")
        .subcommands(EndpointList(), EndpointDrain(), EndpointUndrain())

/** Whether this `drain` object drains its endpoint; an absent field counts as true, as in the router. */
private fun StoredItem.isDraining(): Boolean = (value[DRAINING] as? JsonPrimitive)?.content != "false"

private class EndpointList : CtlCommand("list", "Lists endpoints and operators' drains.", "endpoint list") {
    override fun run() {
        val endpoints = client.list(ENDPOINT_KIND).orFail()
        val drained =
            client
                .list(DRAIN_KIND)
                .orFail()
                .items
                .filter { it.isDraining() }
                .mapTo(HashSet()) { it.name }
        print(json(endpoints, drained)) { table(endpoints, drained) }
    }

    private fun json(
        endpoints: ItemList,
        drained: Set<String>,
    ): JsonObject =
        buildJsonObject {
            put("revision", endpoints.revision)
            putJsonArray("items") {
                endpoints.items.forEach { item ->
                    addJsonObject {
                        put("name", item.name)
                        put("version", item.version)
                        put(DRAINING, item.name in drained)
                        put("value", item.value)
                    }
                }
            }
        }

    private fun table(
        endpoints: ItemList,
        drained: Set<String>,
    ): Table =
        Table(
            listOf("ENDPOINT", "VERSION", "DRAINING", "ADDRESS", "ZONE", "SERVES", "LAYERS"),
            endpoints.items.map { row(it, it.name in drained) },
        )

    private fun row(
        item: StoredItem,
        draining: Boolean,
    ): List<String> {
        val value = item.value
        val layers = value["first"]?.let { "${it.cell()}-${value["end"].cell()}" } ?: "-"
        val serves = (value["service"] ?: value["model"]).cell()
        val location = listOf(value["address"].cell(), value["zone"].cell())
        return listOf(item.name, "${item.version}", if (draining) "yes" else "no") + location + listOf(serves, layers)
    }
}

private class EndpointDrain :
    ApplyCommand("drain", "Stops new work for an endpoint; work in progress goes on.", "endpoint drain e7") {
    private val endpoint by argument()

    override fun run() {
        // The API stores a drain for any name, so a mistyped name would drain nothing and cause no error.
        client.read(ENDPOINT_KIND, endpoint).orFail()
        apply(DRAIN_KIND, endpoint, buildJsonObject { put(DRAINING, true) })
    }
}

private class EndpointUndrain :
    DeleteCommand("undrain", "Ends an operator's drain of an endpoint.", "endpoint undrain e7") {
    private val endpoint by argument()

    override fun run() = delete(DRAIN_KIND, endpoint)
}
