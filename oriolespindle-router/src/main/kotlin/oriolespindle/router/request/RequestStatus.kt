package oriolespindle.router.request

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** Builds the request component's part of the status report for operators. */
internal object RequestStatus {
    fun report(
        context: RequestContext,
        routes: ModelRoutes,
        streams: Int,
    ): JsonObject =
        buildJsonObject {
            put("streams", streams)
            putJsonArray("models") {
                context.directory.models().sortedBy { it.value }.forEach { model ->
                    addJsonObject {
                        val plan = routes.plan(model)
                        put("model", model.value)
                        put("chains", plan?.chains?.size ?: 0)
                        put("boundTokensPerSecond", plan?.bound ?: 0.0)
                    }
                }
            }
            putJsonArray("unusableObjects") {
                context.directory.faults().forEach { fault ->
                    addJsonObject {
                        put("object", fault.key.toString())
                        put("version", fault.version)
                        put("message", fault.message)
                    }
                }
                context.contracts.faults().forEach { fault ->
                    addJsonObject {
                        put("object", "contract/${fault.team}")
                        put("version", fault.version)
                        put("message", fault.violations.joinToString("; ") { "${it.field} ${it.value}: ${it.rule}" })
                    }
                }
            }
            put("contracts", context.contracts.contracts().size)
            put("teams", context.teamUsage.report())
        }
}
