package oriolespindle.ctl

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/** Parses answers; unknown keys are ignored, since instances of later versions may add fields. */
internal val apiJson: Json = Json { ignoreUnknownKeys = true }

/** Formats output for people and files. */
internal val prettyJson: Json = Json { prettyPrint = true }

/** A stored object as returned by the administration API. */
@Serializable
internal data class StoredItem(
    val kind: String,
    val name: String,
    val version: Long,
    val value: JsonObject,
)

/** All objects of one kind. */
@Serializable
internal data class ItemList(
    val revision: Long,
    val items: List<StoredItem>,
)

/** An accepted write; [version] is null if the API does not know the version of a deletion. */
@Serializable
internal data class WrittenItem(
    val kind: String,
    val name: String,
    val version: Long? = null,
)

/** A validation rule that an object violates. */
@Serializable
internal data class FieldViolation(
    val field: String,
    val value: String,
    val rule: String,
) {
    override fun toString(): String = "$field is '$value': $rule"
}

/** The body of an error response. */
@Serializable
internal data class ErrorBody(
    val error: String = "no message",
    val violations: List<FieldViolation> = emptyList(),
    val current: StoredItem? = null,
)

/** The rollout status of a revision. */
@Serializable
internal data class RolloutState(
    val revision: Long,
    val inForceEverywhere: Boolean,
    val confirmed: Int,
    val lagging: List<LaggingInstance> = emptyList(),
)

/** An instance that has not confirmed a revision; [revision] is the last one that it reported. */
@Serializable
internal data class LaggingInstance(
    val instance: String,
    val revision: Long? = null,
)
