package oriolespindle.ctl

import kotlinx.serialization.json.JsonObject

/** What a change of an object did or, in a dry run, would do. */
internal sealed interface ChangeResult {
    /** [previous] is the replaced version, or null when the object was created. */
    data class Written(
        val previous: Long?,
        val item: WrittenItem,
    ) : ChangeResult

    /** The object already has the value, at [version]. */
    data class Unchanged(
        val version: Long,
    ) : ChangeResult

    /** A dry run: the write would replace [previous], or create the object when that is null. */
    data class WouldWrite(
        val previous: Long?,
    ) : ChangeResult
}

/** Changes one object so that a concurrent change is never overwritten. */
internal class ObjectChange(
    private val client: AdministrationClient,
    private val kind: String,
    private val name: String,
) {
    /**
     * Creates or replaces the object.
     *
     * [basedOn] is the version that the operator's value was made from; without it, the version that the instance knows
     * now is replaced.
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

    /** Deletes the object at [basedOn], or at the version that the instance knows now. */
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
