package oriolespindle.router.platform

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject

/** An object as the platform's API returns it. */
@Serializable
internal data class PlatformObject(
    val kind: String,
    val name: String,
    val version: Long,
    val value: JsonElement,
)

/** Returns the key of this object. */
internal fun PlatformObject.key(): ObjectKey = ObjectKey(ObjectKind(kind), name)

/** Converts this object to the representation that the core uses. */
internal fun PlatformObject.toStored(): StoredObject = StoredObject(key(), Revision(version), value.toString())

@Serializable
internal data class PlatformList(
    val revision: Long,
    val items: List<PlatformObject>,
)

/** One line of a watch; [type] is `put`, `delete` or `idle`. */
@Serializable
internal data class WatchLine(
    val type: String,
    val revision: Long,
    val `object`: PlatformObject? = null,
)

@Serializable
internal data class PlatformInstance(
    val id: String,
    val zone: String,
    val address: String,
    val kind: String,
    val state: String,
)

@Serializable
internal data class PlatformInstanceList(
    val version: Long,
    val instances: List<PlatformInstance>,
)

/** The result of one platform call. */
internal sealed interface PlatformResult<out T> {
    data class Ok<T>(
        val value: T,
    ) : PlatformResult<T>

    data object NotFound : PlatformResult<Nothing>

    /** A conditional write found another version; [current] is null if the object does not exist. */
    data class Conflict(
        val current: PlatformObject?,
    ) : PlatformResult<Nothing>

    /** There is no usable answer. If [mayBeApplied] is true, a write may nevertheless have taken effect. */
    data class Unavailable(
        val mayBeApplied: Boolean,
    ) : PlatformResult<Nothing>
}
