package oriolespindle.core.claim

import kotlin.time.Instant

/**
 * A caller's identifier of one non-idempotent call; all retries of the call carry the same key.
 *
 * A UUID of version 7 contains its creation time and is converted to lower case, because UUIDs that differ only in case
 * are the same key. Any other text remains unchanged and has no [time].
 */
public class IdempotencyKey private constructor(
    public val value: String,
    /** The creation time that the key contains, or null if it contains none. */
    public val time: Instant?,
) {
    override fun equals(other: Any?): Boolean = other is IdempotencyKey && other.value == value

    override fun hashCode(): Int = value.hashCode()

    override fun toString(): String = value

    public companion object {
        /** The maximum length of a key, in characters. */
        public const val MAX_LENGTH: Int = 128

        private val PRINTABLE = Regex("[\\x21-\\x7e]+")
        private val UUID_VERSION_7 =
            Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}")

        /**
         * Parses the value of an `Idempotency-Key` header, with or without the quotes of a structured string.
         *
         * @throws IllegalArgumentException if the key is empty, longer than [MAX_LENGTH], or contains a space or a
         * character that is not printable ASCII.
         */
        public fun parse(text: String): IdempotencyKey =
            requireNotNull(parseOrNull(text)) {
                "idempotency key must have 1 to $MAX_LENGTH printable ASCII characters without spaces"
            }

        /** Parses a key like [parse], but returns null if it is malformed. */
        public fun parseOrNull(text: String): IdempotencyKey? {
            val trimmed = text.trim()
            val isQuoted = trimmed.length >= 2 && trimmed.startsWith('"') && trimmed.endsWith('"')
            val unquoted = if (isQuoted) trimmed.substring(1, trimmed.length - 1) else trimmed
            if (unquoted.length > MAX_LENGTH || !PRINTABLE.matches(unquoted)) return null
            if (!UUID_VERSION_7.matches(unquoted)) return IdempotencyKey(unquoted, null)
            val millis = (unquoted.substring(0, 8) + unquoted.substring(9, 13)).toLong(radix = 16)
            return IdempotencyKey(unquoted.lowercase(), Instant.fromEpochMilliseconds(millis))
        }
    }
}
