package oriolespindle.core.crash

import kotlinx.serialization.Serializable
import oriolespindle.core.id.TeamId
import java.security.MessageDigest
import java.util.HexFormat

/** Identifies requests with the same content, so that any instance recognizes a retry of a request. */
@Serializable
@JvmInline
public value class Fingerprint(
    public val value: String,
) : Comparable<Fingerprint> {
    override fun compareTo(other: Fingerprint): Int = value.compareTo(other.value)

    override fun toString(): String = value

    public companion object {
        private const val DIGEST_BYTES = 16

        /**
         * Returns the fingerprint of a request of [team] for [target], a model or service, with [content].
         *
         * The hash is cryptographic, since a team that found a collision could have another team's requests refused.
         */
        public fun of(
            team: TeamId,
            target: String,
            content: ByteArray,
        ): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update("${team.value}\n$target\n".toByteArray())
            return Fingerprint(HexFormat.of().formatHex(digest.digest(content), 0, DIGEST_BYTES))
        }
    }
}
