package oriolespindle.core.claim

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.UnknownReason
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.io.encoding.Base64
import kotlin.time.Instant

/** The name of a claim's object in the platform, where its kind is `claim`. */
@Serializable
@JvmInline
public value class ClaimObject(
    public val name: String,
) {
    override fun toString(): String = name

    public companion object {
        /** Returns the object for [key] of [team]; equal keys of different teams have different objects. */
        public fun of(
            team: TeamId,
            key: IdempotencyKey,
        ): ClaimObject = ClaimObject(sha256("${team.value}\n${key.value}".toByteArray()))
    }
}

/** The platform's version of a claim object. */
@JvmInline
public value class ClaimVersion(
    public val value: Long,
) {
    override fun toString(): String = value.toString()
}

/** A digest of the content of a call; a key that is reused with another digest identifies another call. */
@Serializable
@JvmInline
public value class RequestDigest(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        /** Returns the digest of a call by its [service], [method], [path] with query, and [body]. */
        public fun of(
            service: String,
            method: String,
            path: String,
            body: ByteArray,
        ): RequestDigest = RequestDigest(sha256("$service\n$method\n$path\n".toByteArray() + body))
    }
}

/** The known state of the call of a claim. */
@Serializable
public sealed interface ClaimState {
    /** The holder may have sent the call. */
    @Serializable
    @SerialName("CLAIMED")
    public data object Claimed : ClaimState

    /** The endpoint answered; [body] is the answer in Base64, or null if it was too large to store. */
    @Serializable
    @SerialName("DONE")
    public data class Done(
        public val status: Int,
        public val contentType: String? = null,
        public val body: String? = null,
    ) : ClaimState {
        /** Returns the bytes of the answer, or null if they were not stored. */
        public fun bodyBytes(): ByteArray? = body?.let { Base64.decode(it) }
    }

    /** The answer was lost after the call was sent. */
    @Serializable
    @SerialName("UNKNOWN")
    public data class Unknown(
        public val reason: UnknownReason,
    ) : ClaimState

    /** The call did not run and the holder will not send it; a retry may take over the claim. */
    @Serializable
    @SerialName("NOT_RUN")
    public data object NotRun : ClaimState
}

/**
 * The stored claim of one key: [holder] may send the call of [request], and nobody else ever sends it.
 *
 * [time] is the wall-clock time at which the request of the holder arrived.
 */
@Serializable
public data class ClaimRecord(
    public val key: String,
    public val digest: RequestDigest,
    public val holder: InstanceId,
    public val request: RequestId,
    public val time: Instant,
    public val state: ClaimState = ClaimState.Claimed,
) {
    /** Returns the JSON form that [parse] reads. */
    public fun encode(): String = JSON.encodeToString(serializer(), this)

    public companion object {
        /** Unknown fields are ignored, so that instances of different releases can read each other's claims. */
        private val JSON = Json { ignoreUnknownKeys = true }

        /**
         * Parses a record from its JSON form.
         *
         * @throws IllegalArgumentException if [json] is not a claim record.
         */
        public fun parse(json: String): ClaimRecord =
            requireNotNull(parseOrNull(json)) { "not a claim record: ${json.take(100)}" }

        /** Parses a record like [parse], but returns null if [json] is not a claim record. */
        public fun parseOrNull(json: String): ClaimRecord? =
            try {
                JSON.decodeFromString(serializer(), json)
            } catch (e: SerializationException) {
                null
            } catch (e: IllegalArgumentException) {
                null
            }
    }
}

/** A claim object as stored in the platform; [record] is null if the value cannot be parsed. */
public data class StoredClaim(
    public val version: ClaimVersion,
    public val record: ClaimRecord?,
)

private fun sha256(bytes: ByteArray): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
