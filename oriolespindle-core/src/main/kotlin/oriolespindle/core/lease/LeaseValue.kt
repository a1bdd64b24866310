package oriolespindle.core.lease

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import oriolespindle.core.id.InstanceId

/**
 * The content of a lease object.
 *
 * [holder] is null after a release. [write] identifies one write of one process, so that a writer whose answer was
 * lost recognizes its own write.
 */
@Serializable
public data class LeaseValue(
    public val holder: InstanceId?,
    public val write: String,
    public val durationMillis: Long,
) {
    public companion object {
        private val json = Json { ignoreUnknownKeys = true }

        /** Parses the JSON text of a lease, or returns null if it is invalid. */
        public fun parseOrNull(text: String): LeaseValue? =
            try {
                json.decodeFromString<LeaseValue>(text).takeIf { it.durationMillis > 0 }
            } catch (e: SerializationException) {
                null
            } catch (e: IllegalArgumentException) {
                null
            }

        /** Returns the JSON text of [value]. */
        public fun encode(value: LeaseValue): String = json.encodeToString(value)
    }
}
