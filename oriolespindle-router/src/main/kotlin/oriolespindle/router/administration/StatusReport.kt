package oriolespindle.router.administration

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import oriolespindle.core.config.ObjectCache
import oriolespindle.router.settings.Settings

/** The answer of `GET /v1/status`. */
internal object StatusReport {
    fun configuration(cache: ObjectCache): JsonObject =
        buildJsonObject {
            put("revision", cache.revision.value)
            put("contentHash", java.lang.Long.toHexString(cache.contentHash))
        }

    fun whole(
        settings: Settings,
        configuration: JsonElement,
        requests: JsonElement,
    ): JsonObject =
        buildJsonObject {
            put("instance", settings.instance.value)
            put("zone", settings.zone.value)
            put("configuration", configuration)
            put("requests", requests)
        }
}
