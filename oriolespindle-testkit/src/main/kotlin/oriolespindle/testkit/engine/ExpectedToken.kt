package oriolespindle.testkit.engine

import com.dynatrace.hash4j.hashing.Hashing

/**
 * Returns the token that every chain of fake engines makes at [position].
 *
 * It depends on nothing but the model, the prompt and the position, so that an answer can be checked whatever chains
 * made its parts.
 */
public fun expectedToken(
    model: String,
    prompt: String,
    position: Int,
): String {
    val hash =
        Hashing
            .xxh3_64()
            .hashStream()
            .putString(model)
            .putString(prompt)
            .putInt(position)
            .asLong
    return "t" + java.lang.Long.toUnsignedString(hash, 36)
}
