package oriolespindle.router.peer

import java.security.SecureRandom

/**
 * The exchange of Hello messages on a new connection.
 *
 * The accepting side sends its nonce first; the connecting side answers with its own nonce and its proof, and the
 * accepting side proves itself last. Each side proves over both nonces.
 */
internal class Handshake(
    private val identity: PeerIdentity,
    private val key: FleetKey,
    private val random: SecureRandom,
) {
    suspend fun accept(frames: FrameChannel): PeerIdentity? {
        val nonce = nonce()
        frames.write(PeerMessage.Hello(identity, nonce))
        val hello = frames.hello() ?: return null
        if (!valid(FleetKey.Role.CONNECTS, hello, nonce)) return null
        val proof = key.prove(FleetKey.Role.ACCEPTS, identity, hello.nonce, nonce)
        frames.write(PeerMessage.Hello(identity, nonce, proof))
        return hello.identity
    }

    suspend fun connect(frames: FrameChannel): PeerIdentity? {
        val challenge = frames.hello() ?: return null
        val nonce = nonce()
        val proof = key.prove(FleetKey.Role.CONNECTS, identity, challenge.nonce, nonce)
        frames.write(PeerMessage.Hello(identity, nonce, proof))
        val hello = frames.hello() ?: return null
        if (hello.nonce != challenge.nonce) return null
        return hello.identity.takeIf { valid(FleetKey.Role.ACCEPTS, hello, nonce) }
    }

    private fun valid(
        role: FleetKey.Role,
        hello: PeerMessage.Hello,
        own: HandshakeBytes,
    ): Boolean = hello.proof == key.prove(role, hello.identity, own, hello.nonce)

    private fun nonce(): HandshakeBytes = HandshakeBytes(ByteArray(NONCE_BYTES).also(random::nextBytes))

    private suspend fun FrameChannel.hello(): PeerMessage.Hello? = read(LONGEST_HELLO) as? PeerMessage.Hello

    private companion object {
        const val NONCE_BYTES = 16

        /** A peer that has not proved itself may not make the receiver buffer more than this. */
        const val LONGEST_HELLO = 4096
    }
}
