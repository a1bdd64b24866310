package oriolespindle.ctl

import kotlinx.serialization.json.JsonObject

/** The effect of a change of an object, or in a dry run the effect that it would have. */
internal sealed interface ChangeResult {
    /** The object was written; [previous] is the replaced version, or null if the object was created. */
    data class Written(
        val previous: Long?,
        val item: WrittenItem,
    ) : ChangeResult

    /** The object already has the value, at [version]. */
    data class Unchanged(
        val version: Long,
    ) : ChangeResult

    /** Dry run: the write would replace version [previous], or create the object if it is null. */
    data class WouldWrite(
        val previous: Long?,
    ) : ChangeResult
}

/** Changes one object with optimistic concurrency control, so that a concurrent change is never overwritten. */
internal class ObjectChange(
    private val client: AdministrationClient,
    private val kind: String,
    private val name: String,
) {
    /**
     * Creates or replaces the object.
     *
     * [basedOn] is the version that the operator's value is based on; if it is null, the version that the instance
     * currently knows is replaced.
     */
    fun apply(
        value: JsonObject,
        basedOn: Long?,
        dryRun: Boolean,
    ): ApiResult<ChangeResult> {
        val current =
            when (val read = client.read(kind, name)) {
                is ApiResult.Ok -> read.value
                is ApiResult.NotFound -> null
                is ApiResult.Failure -> return read
            }
        if (basedOn == null && current?.value == value) return ApiResult.Ok(ChangeResult.Unchanged(current.version))
        val expected = basedOn ?: current?.version
        if (dryRun) return dryRunResult(expected, current)
        return when (val written = client.write(kind, name, value, expected)) {
            is ApiResult.Ok -> ApiResult.Ok(ChangeResult.Written(expected, written.value))
            is ApiResult.Failure -> written
        }
    }

    /** Deletes the object at version [basedOn], or if that is null at the version that the instance currently knows. */
    fun delete(basedOn: Long?): ApiResult<WrittenItem> {
        if (basedOn != null) return client.delete(kind, name, basedOn)
        return when (val read = client.read(kind, name)) {
            is ApiResult.Ok -> client.delete(kind, name, read.value.version)
            is ApiResult.Failure -> read
        }
    }

    private fun dryRunResult(
        expected: Long?,
        current: StoredItem?,
    ): ApiResult<ChangeResult> =
        if (expected == current?.version) {
            ApiResult.Ok(ChangeResult.WouldWrite(expected))
        } else {
            ApiResult.Conflict("$kind/$name is at another version than $expected", current)
        }
}
