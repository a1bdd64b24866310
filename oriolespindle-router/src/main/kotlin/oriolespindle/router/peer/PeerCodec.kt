package oriolespindle.router.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.nio.ByteBuffer

/** The result of encoding one message. */
public sealed interface EncodeResult {
    /** A whole frame, its length included. */
    public class Frame(
        public val bytes: ByteArray,
    ) : EncodeResult

    /** The message needs [bytes], more than one frame may have. */
    public data class TooLarge(
        public val bytes: Int,
    ) : EncodeResult
}

/** The result of decoding the start of a byte sequence. */
public sealed interface DecodeResult {
    /** [message] took the first [bytes] bytes. */
    public data class Decoded(
        public val message: PeerMessage,
        public val bytes: Int,
    ) : DecodeResult

    /** The frame is not complete; it needs at least [bytes] bytes in all. */
    public data class Incomplete(
        public val bytes: Int,
    ) : DecodeResult

    /** The frame claims a length outside 1 to [PeerCodec.MAX_FRAME_BYTES]; nothing was allocated for it. */
    public data class Oversized(
        public val length: Long,
    ) : DecodeResult

    /** The frame is complete but is no message. */
    public data class Malformed(
        public val reason: String,
    ) : DecodeResult
}

/** Encodes messages as frames of a 4-byte big-endian length and CBOR. */
@OptIn(ExperimentalSerializationApi::class)
public object PeerCodec {
    /** The largest number of CBOR bytes in one frame. */
    public const val MAX_FRAME_BYTES: Int = 1024 * 1024

    /** The number of bytes of the length in front of each frame. */
    public const val HEADER_BYTES: Int = 4

    private val cbor =
        Cbor {
            // Instances of two versions run side by side during a rollout.
            ignoreUnknownKeys = true
            encodeDefaults = false
            useDefiniteLengthEncoding = true
        }

    /** Returns the frame of [message]. */
    public fun encode(message: PeerMessage): EncodeResult {
        val body = cbor.encodeToByteArray(message)
        if (body.size > MAX_FRAME_BYTES) return EncodeResult.TooLarge(body.size)
        val frame = ByteBuffer.allocate(HEADER_BYTES + body.size).putInt(body.size).put(body)
        return EncodeResult.Frame(frame.array())
    }

    /** Decodes the frame at the start of [bytes]. */
    public fun decode(bytes: ByteArray): DecodeResult {
        if (bytes.size < HEADER_BYTES) return DecodeResult.Incomplete(HEADER_BYTES)
        val length = ByteBuffer.wrap(bytes).getInt()
        checkLength(length)?.let { return it }
        val end = HEADER_BYTES + length
        if (bytes.size < end) return DecodeResult.Incomplete(end)
        return decodeBody(bytes.copyOfRange(HEADER_BYTES, end))
    }

    /** Returns why a frame of [length] is refused, or null when it is acceptable. */
    internal fun checkLength(
        length: Int,
        maxBytes: Int = MAX_FRAME_BYTES,
    ): DecodeResult.Oversized? {
        if (length in 1..maxBytes) return null
        return DecodeResult.Oversized(Integer.toUnsignedLong(length))
    }

    /** Decodes a frame without its length. */
    internal fun decodeBody(body: ByteArray): DecodeResult =
        try {
            DecodeResult.Decoded(cbor.decodeFromByteArray<PeerMessage>(body), HEADER_BYTES + body.size)
        } catch (e: Exception) {
            // The decoder reports malformed input by several exception types, not only SerializationException.
            DecodeResult.Malformed(e.message ?: e.javaClass.simpleName)
        } catch (e: StackOverflowError) {
            DecodeResult.Malformed("nested too deeply")
        }
}
