package oriolespindle.router.administration

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.contract.KeyDigest
import oriolespindle.core.contract.Violation
import oriolespindle.router.directory.Directory

/** Validates objects other than contracts before they are stored. */
internal object ObjectRules {
    private val namePattern = Regex("[A-Za-z0-9._-]{1,128}")

    fun violations(
        key: ObjectKey,
        value: JsonObject,
    ): List<Violation> {
        if (!namePattern.matches(key.name)) {
            return listOf(Violation("name", key.name, "must be 1 to 128 letters, digits, '.', '_' or '-'"))
        }
        if (key.kind == ObjectKind.OPERATOR) return operatorViolations(value)
        // Validates with the code that reads stored objects, so that every instance can use what is accepted here.
        val directory = Directory()
        directory.apply(StoredObject(key, Revision(1), value.toString()))
        return directory.faults().map { Violation("value", value.toString().take(MAX_VALUE_LENGTH), it.message) }
    }

    private fun operatorViolations(value: JsonObject): List<Violation> {
        val operator =
            try {
                OperatorValue.parseOrNull(value.toString())
            } catch (_: SerializationException) {
                null
            }
        return when {
            operator == null -> listOf(Violation("value", "", "must have 'tokenDigest' and 'role'"))
            KeyDigest.parseOrNull(operator.tokenDigest) == null -> listOf(Violation("tokenDigest", "", DIGEST_RULE))
            else -> emptyList()
        }
    }

    private const val MAX_VALUE_LENGTH = 200
    private const val DIGEST_RULE = "must be 64 lower-case hexadecimal digits"
}
