package oriolespindle.router.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import java.io.IOException

/** Reads and writes frames on one socket. */
internal class FrameChannel(
    private val socket: Socket,
    private val counters: PeerCounters,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    /**
     * Reads one message, or returns null if its frame is malformed, empty or longer than [maxBytes].
     *
     * @throws IOException if the connection ends.
     */
    suspend fun read(maxBytes: Int = PeerCodec.MAX_FRAME_BYTES): PeerMessage? {
        val length = input.readInt()
        if (PeerCodec.checkLength(length, maxBytes) != null) return rejectFrame()
        val body = input.readByteArray(length)
        counters.framesReceived.increment()
        counters.bytesReceived.add(PeerCodec.HEADER_BYTES + length.toLong())
        return when (val result = PeerCodec.decodeBody(body)) {
            is DecodeResult.Decoded -> result.message
            else -> rejectFrame()
        }
    }

    /** Writes one message of the handshake, which always fits in one frame. */
    suspend fun write(message: PeerMessage) {
        when (val frame = PeerCodec.encode(message)) {
            is EncodeResult.Frame -> write(frame.bytes)
            is EncodeResult.TooLarge -> error("message of ${frame.bytes} bytes does not fit in one frame")
        }
    }

    suspend fun write(frame: ByteArray) {
        output.writeFully(frame)
        output.flush()
        counters.framesSent.increment()
        counters.bytesSent.add(frame.size.toLong())
    }

    fun close() {
        socket.close()
    }

    private fun rejectFrame(): PeerMessage? {
        counters.malformed.increment()
        return null
    }
}
