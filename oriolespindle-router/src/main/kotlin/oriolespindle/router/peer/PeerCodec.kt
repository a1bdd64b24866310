package oriolespindle.router.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.nio.ByteBuffer

/** The result of encoding one message. */
public sealed interface EncodeResult {
    /** A complete frame with its length prefix. */
    public class Frame(
        public val bytes: ByteArray,
    ) : EncodeResult

    /** The message takes [bytes] bytes, more than [PeerCodec.MAX_FRAME_BYTES]. */
    public data class TooLarge(
        public val bytes: Int,
    ) : EncodeResult
}

/** The result of decoding the start of a byte sequence. */
public sealed interface DecodeResult {
    /** The first [bytes] bytes are the frame of [message]. */
    public data class Decoded(
        public val message: PeerMessage,
        public val bytes: Int,
    ) : DecodeResult

    /** The frame is incomplete; it needs at least [bytes] bytes in total. */
    public data class Incomplete(
        public val bytes: Int,
    ) : DecodeResult

    /** The length prefix is outside 1 to [PeerCodec.MAX_FRAME_BYTES]; no memory was allocated for the frame. */
    public data class Oversized(
        public val length: Long,
    ) : DecodeResult

    /** The frame is complete but does not contain a valid message. */
    public data class Malformed(
        public val reason: String,
    ) : DecodeResult
}

/** Encodes messages as frames of a 4-byte big-endian length prefix and CBOR. */
@OptIn(ExperimentalSerializationApi::class)
public object PeerCodec {
    /** The maximum number of CBOR bytes in one frame. */
    public const val MAX_FRAME_BYTES: Int = 1024 * 1024

    /** The number of bytes of the length prefix. */
    public const val HEADER_BYTES: Int = 4

    private val cbor =
        Cbor {
            // Instances of two versions run side by side during a rollout, so a message may have unknown fields.
            ignoreUnknownKeys = true
            encodeDefaults = false
            useDefiniteLengthEncoding = true
        }

    /** Encodes [message] as a frame. */
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

    /** Returns null if [length] is in 1 to [maxBytes], and why a frame of that length is rejected otherwise. */
    internal fun checkLength(
        length: Int,
        maxBytes: Int = MAX_FRAME_BYTES,
    ): DecodeResult.Oversized? {
        if (length in 1..maxBytes) return null
        return DecodeResult.Oversized(Integer.toUnsignedLong(length))
    }

    /** Decodes the content of a frame, without its length prefix. */
    internal fun decodeBody(body: ByteArray): DecodeResult =
        try {
            DecodeResult.Decoded(cbor.decodeFromByteArray<PeerMessage>(body), HEADER_BYTES + body.size)
        } catch (e: Exception) {
            // The decoder throws several exception types for malformed input, not only SerializationException.
            DecodeResult.Malformed(e.message ?: e.javaClass.simpleName)
        } catch (e: StackOverflowError) {
            DecodeResult.Malformed("nested too deeply")
        }
}
