package oriolespindle.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.ProcessedArgument
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.choice

private val kinds = listOf("model", "endpoint", "service", "operator", "order")

internal fun objectCommands(): CliktCommand =
    CommandGroup("object", "Reads and changes models, endpoints, services, operators and orders.")
        .subcommands(ObjectGet(), ObjectList(), ObjectApply(), ObjectDelete())

/** Returns a table with one row for each field of [item]. */
internal fun itemTable(item: StoredItem): Table {
    val head = listOf(listOf("name", item.name), listOf("version", "${item.version}"))
    return Table(listOf("FIELD", "VALUE"), head + item.value.map { (field, value) -> listOf(field, value.cell()) })
}

private fun CtlCommand.kindArgument(): ProcessedArgument<String, String> =
    argument("KIND", help = "One of ${kinds.joinToString()}.").choice(*kinds.toTypedArray())

private class ObjectGet : CtlCommand("get", "Prints one object.", "object get model demo") {
    private val kind by kindArgument()
    private val name by argument()

    override fun run() {
        val item = client.read(kind, name).orFail()
        print(apiJson.encodeToJsonElement(StoredItem.serializer(), item)) { itemTable(item) }
    }
}

private class ObjectList : CtlCommand("list", "Lists the objects of one kind.", "object list service") {
    private val kind by kindArgument()

    override fun run() {
        val list = client.list(kind).orFail()
        print(apiJson.encodeToJsonElement(ItemList.serializer(), list)) {
            Table(
                listOf("NAME", "VERSION", "VALUE"),
                list.items.map { listOf(it.name, "${it.version}", it.value.toString()) },
            )
        }
    }
}

private class ObjectApply :
    ApplyCommand(
        "apply",
        "Creates or replaces one object; an instance checks its rules.",
        "object apply endpoint e7 e7.json",
    ) {
    private val kind by kindArgument()
    private val name by argument()
    private val file by argument(help = "File with the value, or - for standard input.")

    override fun run() = apply(kind, name, readValue(file))
}

private class ObjectDelete : DeleteCommand("delete", "Deletes one object.", "object delete endpoint e7") {
    private val kind by kindArgument()
    private val name by argument()

    override fun run() = delete(kind, name)
}
