package oriolespindle.testkit.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull

/** An object of the fake platform; a tombstone has [value] `null`. */
@Serializable
public data class PlatformObject(
    public val kind: String,
    public val name: String,
    public val version: Long,
    public val value: JsonElement = JsonNull,
)

/** One entry of the platform's instance list. */
@Serializable
public data class PlatformInstance(
    public val id: String,
    public val zone: String,
    public val address: String,
    public val kind: String,
    public val state: String,
)

/** How often each operation was called since the start; a watch counts once when it opens. */
@Serializable
public data class PlatformCalls(
    public val get: Long = 0,
    public val put: Long = 0,
    public val delete: Long = 0,
    public val list: Long = 0,
    public val watch: Long = 0,
    public val instances: Long = 0,
    public val register: Long = 0,
) {
    /** The number of calls of every kind. */
    public val total: Long get() = get + put + delete + list + watch + instances + register
}

@Serializable
internal data class ObjectList(
    val revision: Long,
    val items: List<PlatformObject>,
)

@Serializable
internal data class InstanceList(
    val version: Long,
    val instances: List<PlatformInstance>,
)

@Serializable
internal enum class WatchType {
    @SerialName("put")
    PUT,

    @SerialName("delete")
    DELETE,

    @SerialName("idle")
    IDLE,
}

@Serializable
internal data class WatchLine(
    val type: WatchType,
    val revision: Long,
    @SerialName("object") val changed: PlatformObject? = null,
)

@Serializable
internal data class NotFound(
    val error: String,
    val revision: Long,
)
