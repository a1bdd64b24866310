package oriolespindle.router.platform

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNull
import oriolespindle.router.json.JsonSlices
import oriolespindle.router.logging.EventLog

/**
 * Decodes answers of the platform; each function throws a [SerializationException] if the answer cannot be decoded.
 *
 * A value that is nested too deeply for code that recurses over it is replaced by null, which no kind of objects
 * allows, so that the last valid version stays in force. An item of a list that cannot be decoded is left out.
 */
internal object PlatformAnswers {
    fun item(text: String): PlatformObject {
        if (JsonSlices.depth(text) <= MAX_DEPTH) return json.decodeFromString(PlatformObject.serializer(), text)
        val members = members(text)
        val item =
            PlatformObject(
                kind = decode(String.serializer(), members["kind"]),
                name = decode(String.serializer(), members["name"]),
                version = decode(Long.serializer(), members["version"]),
                value = JsonNull,
            )
        EventLog.warn("value of an object is nested too deeply", "object" to item.key(), "version" to item.version)
        return item
    }

    fun list(text: String): PlatformList {
        val members = members(text)
        return PlatformList(
            revision = decode(Long.serializer(), members["revision"]),
            items = elements(members["items"]).mapNotNull { orNull(it, ::item) },
        )
    }

    fun instances(text: String): PlatformInstanceList {
        val members = members(text)
        return PlatformInstanceList(
            version = decode(Long.serializer(), members["version"]),
            instances = elements(members["instances"]).mapNotNull { orNull(it, ::instance) },
        )
    }

    fun watchLine(text: String): WatchLine {
        val members = members(text)
        return WatchLine(
            type = decode(String.serializer(), members["type"]),
            revision = decode(Long.serializer(), members["revision"]),
            `object` = members["object"]?.takeUnless { it == "null" }?.let { orNull(it, ::item) },
        )
    }

    private fun instance(text: String): PlatformInstance = json.decodeFromString(PlatformInstance.serializer(), text)

    private fun <T> orNull(
        text: String,
        decode: (String) -> T,
    ): T? =
        try {
            decode(text)
        } catch (e: SerializationException) {
            EventLog.warn("cannot decode an item of the platform", "cause" to e.message?.take(MAX_LOGGED_CHARS))
            null
        }

    private fun members(text: String): Map<String, String> =
        JsonSlices.members(text) ?: throw SerializationException("not a complete object")

    private fun elements(text: String?): List<String> =
        text?.let(JsonSlices::elements) ?: throw SerializationException("not an array")

    private fun <T> decode(
        serializer: KSerializer<T>,
        text: String?,
    ): T = json.decodeFromString(serializer, text ?: throw SerializationException("a field is missing"))

    private val json = Json { ignoreUnknownKeys = true }

    /** More than any kind of objects needs; small enough for code that recurses over a decoded value. */
    private const val MAX_DEPTH = 64
    private const val MAX_LOGGED_CHARS = 200
}
