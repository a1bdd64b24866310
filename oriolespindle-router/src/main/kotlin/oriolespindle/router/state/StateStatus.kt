package oriolespindle.router.state

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import oriolespindle.core.config.ObjectCache
import oriolespindle.core.membership.Member

/** Builds the state component's part of the status report for operators. */
internal object StateStatus {
    fun report(
        cache: ObjectCache,
        members: List<Member>,
    ): JsonObject =
        buildJsonObject {
            put("revision", cache.revision.value)
            put("contentHash", java.lang.Long.toHexString(cache.contentHash))
            putJsonArray("members") {
                members.forEach { member ->
                    addJsonObject {
                        put("instance", member.id.value)
                        put("zone", member.record.zone.value)
                        put(
                            "state",
                            member.record.state.name
                                .lowercase(),
                        )
                    }
                }
            }
        }
}
