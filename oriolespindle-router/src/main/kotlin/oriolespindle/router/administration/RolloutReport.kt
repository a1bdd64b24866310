package oriolespindle.router.administration

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import oriolespindle.core.config.RolloutStatus

/** Builds the response body of `GET /v1/rollout/{revision}`. */
internal object RolloutReport {
    fun of(status: RolloutStatus): JsonObject =
        buildJsonObject {
            put("revision", status.revision.value)
            put("inForceEverywhere", status.inForceEverywhere)
            put("confirmed", status.confirmed)
            putJsonArray("lagging") {
                status.lagging.forEach { instance ->
                    addJsonObject {
                        put("instance", instance.instance.value)
                        put("revision", instance.revision?.value)
                    }
                }
            }
        }
}
