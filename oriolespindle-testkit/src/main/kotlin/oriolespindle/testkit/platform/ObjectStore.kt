package oriolespindle.testkit.platform

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull

internal data class ObjectName(
    val kind: String,
    val name: String,
)

/** The condition of a write. */
internal sealed interface Expected {
    data object Absent : Expected

    data class Version(
        val version: Long,
    ) : Expected
}

internal sealed interface WriteResult {
    data class Written(
        val stored: PlatformObject,
    ) : WriteResult

    /** [current] has version 0 when there is no object. */
    data class Conflict(
        val current: PlatformObject,
    ) : WriteResult
}

/** The objects and their tombstones; confined to its owner's lock. */
internal class ObjectStore {
    private val latest = LinkedHashMap<ObjectName, PlatformObject>()

    var revision: Long = 0
        private set

    fun get(key: ObjectName): PlatformObject? = latest[key]?.takeUnless { it.isTombstone }

    fun list(kinds: Set<String>): List<PlatformObject> =
        latest.values.filter { it.kind in kinds && !it.isTombstone }.sortedBy { it.version }

    /** The latest change of every object after [from], tombstones included, in the order of the changes. */
    fun changes(
        kinds: Set<String>,
        from: Long,
    ): List<PlatformObject> = latest.values.filter { it.kind in kinds && it.version > from }.sortedBy { it.version }

    fun put(
        key: ObjectName,
        value: JsonElement,
        expected: Expected,
    ): WriteResult {
        val current = get(key)
        if (!matches(current, expected)) return conflict(key, current)
        return WriteResult.Written(store(key, value))
    }

    fun delete(
        key: ObjectName,
        expected: Expected,
    ): WriteResult {
        val current = get(key)
        if (current == null || !matches(current, expected)) return conflict(key, current)
        return WriteResult.Written(store(key, JsonNull))
    }

    /** Stores a value without a condition. */
    fun store(
        key: ObjectName,
        value: JsonElement,
    ): PlatformObject {
        revision++
        val stored = PlatformObject(key.kind, key.name, revision, value)
        latest[key] = stored
        return stored
    }

    private fun conflict(
        key: ObjectName,
        current: PlatformObject?,
    ) = WriteResult.Conflict(current ?: PlatformObject(key.kind, key.name, version = 0))

    private fun matches(
        current: PlatformObject?,
        expected: Expected,
    ) = when (expected) {
        Expected.Absent -> current == null
        is Expected.Version -> current?.version == expected.version
    }
}

internal val PlatformObject.isTombstone: Boolean get() = value == JsonNull
