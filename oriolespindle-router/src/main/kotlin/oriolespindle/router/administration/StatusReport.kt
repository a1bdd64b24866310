package oriolespindle.router.administration

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import oriolespindle.router.settings.Settings

/** Builds the response body of `GET /v1/status`. */
internal object StatusReport {
    fun of(
        settings: Settings,
        configuration: JsonElement,
        requests: JsonElement,
        orders: JsonElement,
    ): JsonObject =
        buildJsonObject {
            put("instance", settings.instance.value)
            put("zone", settings.zone.value)
            put("state", configuration)
            put("requests", requests)
            put("orders", orders)
        }
}
