package oriolespindle.core.contract

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/**
 * Reads typed fields of a JSON object and collects all violations.
 *
 * A failed read returns a placeholder of the expected type; the caller discards the result if there are [violations].
 */
internal class FieldReader(
    fields: List<JsonField>,
) {
    val violations = mutableListOf<Violation>()
    private val values = mutableMapOf<String, JsonElement>()
    private val readFields = mutableSetOf<String>()

    init {
        for (field in fields) {
            val previous = values.put(field.name, field.value)
            if (previous != null) addViolation(field.name, field.value.toString(), "must be given once")
        }
    }

    fun addViolation(
        field: String,
        value: String,
        rule: String,
    ) {
        val shown = if (value.length > MAX_SHOWN_LENGTH) value.take(MAX_SHOWN_LENGTH) + "..." else value
        violations += Violation(field, shown, rule)
    }

    fun text(
        field: String,
        pattern: Regex,
        rule: String,
    ): String {
        val element = required(field) ?: return ""
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text == null || !pattern.matches(text)) addViolation(field, element.toString(), rule)
        return text.orEmpty()
    }

    fun long(
        field: String,
        range: LongRange,
    ): Long {
        val element = required(field) ?: return range.first
        val number = element.numberOrNull()?.toLongOrNull()
        if (number == null || number !in range) {
            addViolation(field, element.toString(), "must be an integer from ${range.first} to ${range.last}")
        }
        return number ?: range.first
    }

    fun int(
        field: String,
        range: IntRange,
    ): Int = long(field, range.first.toLong()..range.last.toLong()).toInt()

    fun double(
        field: String,
        range: ClosedFloatingPointRange<Double>,
    ): Double {
        val element = required(field) ?: return range.start
        val number = element.numberOrNull()?.toDoubleOrNull()
        if (number == null || number !in range) {
            addViolation(field, element.toString(), "must be a number from ${range.start} to ${range.endInclusive}")
        }
        return number ?: range.start
    }

    fun flag(
        field: String,
        default: Boolean,
    ): Boolean {
        readFields += field
        val element = values[field] ?: return default
        val flag = (element as? JsonPrimitive)?.takeIf { !it.isString }?.contentOrNull?.toBooleanStrictOrNull()
        if (flag == null) addViolation(field, element.toString(), "must be true or false")
        return flag ?: default
    }

    /** Reads an array of distinct items; [item] returns null for an item that breaks [rule]. */
    fun <T : Any> set(
        field: String,
        minSize: Int,
        rule: String,
        item: (JsonPrimitive) -> T?,
    ): Set<T> {
        val element = required(field) ?: return emptySet()
        if (element !is JsonArray) {
            addViolation(field, element.toString(), "must be an array")
            return emptySet()
        }
        if (element.size < minSize) addViolation(field, element.toString(), "must have at least $minSize item(s)")
        val items = mutableSetOf<T>()
        for ((i, value) in element.withIndex()) {
            val parsed = (value as? JsonPrimitive)?.let(item)
            when {
                parsed == null -> addViolation("$field[$i]", value.toString(), rule)
                !items.add(parsed) -> addViolation("$field[$i]", value.toString(), "must not be repeated")
            }
        }
        return items
    }

    /** Adds a violation for each field that has not been read. */
    fun reportUnreadFields() {
        for ((name, value) in values) {
            if (name !in readFields) addViolation(name, value.toString(), "is not a field of a contract")
        }
    }

    private fun required(field: String): JsonElement? {
        readFields += field
        val element = values[field]
        if (element == null) addViolation(field, "missing", "must be given")
        return element
    }

    internal companion object {
        private const val MAX_SHOWN_LENGTH = 80

        // Kotlin's number conversions also accept forms that are invalid in JSON, such as NaN, 1f and 0x1p3.
        private val JSON_NUMBER = Regex("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?")

        fun JsonElement.numberOrNull(): String? =
            (this as? JsonPrimitive)?.takeIf { !it.isString && JSON_NUMBER.matches(it.content) }?.content
    }
}
