package oriolespindle.core.contract

import java.security.MessageDigest

/** The SHA-256 digest of a team's key, as 64 lower-case hexadecimal digits. */
@JvmInline
public value class KeyDigest private constructor(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        private val PATTERN = Regex("[0-9a-f]{64}")

        /** Returns the digest of [key]. */
        public fun of(key: String): KeyDigest {
            val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
            return KeyDigest(digest.joinToString("") { "%02x".format(it) })
        }

        /**
         * Parses a digest.
         *
         * @throws IllegalArgumentException if [text] is not 64 lower-case hexadecimal digits.
         */
        public fun parse(text: String): KeyDigest =
            requireNotNull(parseOrNull(text)) { "key digest is not 64 lower-case hexadecimal digits" }

        /** Parses a digest, or returns null if [text] is not 64 lower-case hexadecimal digits. */
        public fun parseOrNull(text: String): KeyDigest? = if (PATTERN.matches(text)) KeyDigest(text) else null
    }
}
