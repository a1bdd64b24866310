package oriolespindle.router.peer

import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * The shared secret with which the instances of a fleet authenticate each other.
 *
 * It is used only in the handshake: connections are not encrypted, and the frames that follow are not signed.
 *
 * @throws IllegalArgumentException if the secret is shorter than 16 bytes.
 */
public class FleetKey(
    secret: ByteArray,
) {
    private val key: SecretKeySpec

    init {
        require(secret.size >= MIN_BYTES) { "fleet key has ${secret.size} bytes, must have at least $MIN_BYTES" }
        key = SecretKeySpec(secret, ALGORITHM)
    }

    /**
     * Returns the message authentication code of [role], [identity] and both nonces.
     *
     * The role is included to prevent reflection of a proof to the side that made it.
     */
    internal fun computeProof(
        role: Role,
        identity: PeerIdentity,
        peerNonce: HandshakeBytes,
        ownNonce: HandshakeBytes,
    ): HandshakeBytes {
        val content = ByteArrayOutputStream()
        DataOutputStream(content).use { out ->
            out.writeUTF(role.name)
            out.writeUTF(identity.instance.value)
            out.writeLong(identity.incarnation)
            out.writeUTF(identity.zone.value)
            out.writeUTF(identity.address)
            listOf(peerNonce, ownNonce).forEach {
                out.writeInt(it.bytes.size)
                out.write(it.bytes)
            }
        }
        val mac = Mac.getInstance(ALGORITHM).apply { init(key) }
        return HandshakeBytes(mac.doFinal(content.toByteArray()))
    }

    override fun toString(): String = "FleetKey"

    internal enum class Role { ACCEPTS, CONNECTS }

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val MIN_BYTES = 16
    }
}
