package oriolespindle.router.peer

import java.security.SecureRandom

/**
 * Mutual authentication by Hello messages on a new connection.
 *
 * The accepting side sends its nonce first. The connecting side answers with its own nonce and its proof, and the
 * accepting side sends its proof last. Each proof covers both nonces.
 */
internal class Handshake(
    private val identity: PeerIdentity,
    private val key: FleetKey,
    private val random: SecureRandom,
) {
    suspend fun accept(frames: FrameChannel): PeerIdentity? {
        val nonce = newNonce()
        frames.write(PeerMessage.Hello(identity, nonce))
        val hello = frames.readHello() ?: return null
        if (!isValidProof(FleetKey.Role.CONNECTS, hello, nonce)) return null
        val proof = key.computeProof(FleetKey.Role.ACCEPTS, identity, hello.nonce, nonce)
        frames.write(PeerMessage.Hello(identity, nonce, proof))
        return hello.identity
    }

    suspend fun connect(frames: FrameChannel): PeerIdentity? {
        val challenge = frames.readHello() ?: return null
        val nonce = newNonce()
        val proof = key.computeProof(FleetKey.Role.CONNECTS, identity, challenge.nonce, nonce)
        frames.write(PeerMessage.Hello(identity, nonce, proof))
        val hello = frames.readHello() ?: return null
        if (hello.nonce != challenge.nonce) return null
        return hello.identity.takeIf { isValidProof(FleetKey.Role.ACCEPTS, hello, nonce) }
    }

    private fun isValidProof(
        role: FleetKey.Role,
        hello: PeerMessage.Hello,
        ownNonce: HandshakeBytes,
    ): Boolean = hello.proof == key.computeProof(role, hello.identity, ownNonce, hello.nonce)

    private fun newNonce(): HandshakeBytes = HandshakeBytes(ByteArray(NONCE_BYTES).also(random::nextBytes))

    private suspend fun FrameChannel.readHello(): PeerMessage.Hello? = read(MAX_HELLO_BYTES) as? PeerMessage.Hello

    private companion object {
        const val NONCE_BYTES = 16

        /** Bounds the memory that an unauthenticated peer can make the receiver allocate. */
        const val MAX_HELLO_BYTES = 4096
    }
}
