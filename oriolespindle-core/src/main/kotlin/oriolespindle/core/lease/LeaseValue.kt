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

        /** Longer than any instance holds a lease without renewing it; a longer wait would outlast every failure. */
        private const val MAX_DURATION_MILLIS = 60_000L

        /** Parses the JSON text of a lease, or returns null if it is invalid. */
        public fun parseOrNull(text: String): LeaseValue? =
            try {
                json.decodeFromString<LeaseValue>(text).takeIf { it.durationMillis in 1..MAX_DURATION_MILLIS }
            } catch (e: SerializationException) {
                null
            } catch (e: IllegalArgumentException) {
                null
            }

        /** Returns the JSON text of [value]. */
        public fun encode(value: LeaseValue): String = json.encodeToString(value)
    }
}
