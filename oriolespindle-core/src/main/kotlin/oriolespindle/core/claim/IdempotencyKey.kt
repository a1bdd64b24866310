package oriolespindle.core.claim

import kotlin.time.Instant

/**
 * A caller's name for one non-idempotent call; repeats of the call carry the same key.
 *
 * A UUID of version 7 carries its creation time and is held in lower case, because two spellings of one UUID are one
 * key. Any other text is kept as it is and has no [time].
 */
public class IdempotencyKey private constructor(
    public val value: String,
    /** The creation time that the key carries, or null when it carries none. */
    public val time: Instant?,
) {
    override fun equals(other: Any?): Boolean = other is IdempotencyKey && other.value == value

    override fun hashCode(): Int = value.hashCode()

    override fun toString(): String = value

    public companion object {
        /** The longest accepted key, in characters. */
        public const val MAX_LENGTH: Int = 128

        private val PRINTABLE = Regex("[\\x21-\\x7e]+")
        private val UUID_VERSION_7 =
            Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}")

        /**
         * Reads the value of an `Idempotency-Key` header, with or without the quotes of a structured string.
         *
         * @throws IllegalArgumentException if the key is empty, longer than [MAX_LENGTH], or contains a character that
         * is not printable ASCII, or a space.
         */
        public fun parse(text: String): IdempotencyKey =
            requireNotNull(parseOrNull(text)) {
                "idempotency key must have 1 to $MAX_LENGTH printable ASCII characters without spaces"
            }

        /** Reads a key as [parse] does and returns null if it is malformed. */
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
