package oriolespindle.router.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import java.security.MessageDigest

/** A nonce or a proof; [equals] takes the same time wherever the bytes differ, against timing attacks. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class HandshakeBytes(
    @ByteString
    internal val bytes: ByteArray,
) {
    override fun equals(other: Any?): Boolean = other is HandshakeBytes && MessageDigest.isEqual(bytes, other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "HandshakeBytes(${bytes.size})"

    public companion object {
        /** No bytes, which is never a valid proof. */
        public val EMPTY: HandshakeBytes = HandshakeBytes(ByteArray(0))
    }
}
