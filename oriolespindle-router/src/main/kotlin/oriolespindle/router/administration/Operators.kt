package oriolespindle.router.administration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import oriolespindle.core.contract.KeyDigest
import java.security.MessageDigest

/** The permissions of an operator; each role includes those declared before it. */
@Serializable
internal enum class Role {
    /** Reads objects and status. */
    @SerialName("read")
    READ,

    /** Drains endpoints and sends orders to engines. */
    @SerialName("operate")
    OPERATE,

    /** Changes contracts, models, endpoints, services and operators. */
    @SerialName("administer")
    ADMINISTER,
}

/** The value of an `operator` object; [tokenDigest] is the SHA-256 digest of the operator's bearer token. */
@Serializable
internal data class OperatorValue(
    val tokenDigest: String,
    val role: Role,
) {
    companion object {
        fun parseOrNull(text: String): OperatorValue? =
            try {
                Json.decodeFromString(serializer(), text)
            } catch (_: SerializationException) {
                null
            }
    }
}

/**
 * Maps bearer tokens to roles.
 *
 * A token with [bootstrapDigest] has the role [Role.ADMINISTER] even if no operator is stored.
 */
internal class Operators(
    private val bootstrapDigest: KeyDigest?,
) {
    @Volatile
    private var operators: List<OperatorValue> = emptyList()

    /** Replaces the operators read from stored objects. */
    fun replace(values: List<OperatorValue>) {
        operators = values
    }

    /** Returns the role that the `Authorization` header [header] grants, or null if it matches no operator. */
    fun roleOf(header: String?): Role? {
        if (header == null || !header.startsWith(BEARER, ignoreCase = true)) return null
        val digest = KeyDigest.of(header.substring(BEARER.length).trim())
        if (bootstrapDigest != null && equalInConstantTime(bootstrapDigest.value, digest.value)) return Role.ADMINISTER
        return operators.filter { equalInConstantTime(it.tokenDigest, digest.value) }.maxOfOrNull { it.role }
    }

    private fun equalInConstantTime(
        a: String,
        b: String,
    ): Boolean = MessageDigest.isEqual(a.toByteArray(), b.toByteArray())

    private companion object {
        const val BEARER = "Bearer "
    }
}
