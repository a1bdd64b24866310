package oriolespindle.router.order

import kotlinx.serialization.json.Json
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.WriteAction
import oriolespindle.core.lease.LeaseEvent
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.platform.PlatformObject
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.platform.toStored
import oriolespindle.router.state.readEvent
import oriolespindle.router.state.writeEvent

/** Reads and writes the order lease in the platform's store; events are delivered through [post]. */
internal class LeaseStore(
    private val platform: PlatformClient,
    private val post: (() -> Unit) -> Unit,
) {
    /** Reads the lease; a failed read delivers no event, and the lease holder reads again later. */
    fun read(event: (LeaseEvent) -> Unit) {
        platform.get(KEY.kind.code, KEY.name) { result -> observedEvent(result)?.let { post { event(it) } } }
    }

    /** Performs one step of a conditional write of the lease. */
    fun perform(
        action: WriteAction,
        event: (LeaseEvent) -> Unit,
    ) {
        when (action) {
            is WriteAction.Write -> write(action, event)
            is WriteAction.Read -> readBack(event)
            is WriteAction.Wait, is WriteAction.Finish -> error("a lease holder emits neither Wait nor Finish")
        }
    }

    private fun write(
        action: WriteAction.Write,
        event: (LeaseEvent) -> Unit,
    ) {
        val value = Json.parseToJsonElement(checkNotNull(action.value) { "a lease is never deleted" })
        platform.put(KEY.kind.code, KEY.name, value, action.expected?.value) { result ->
            post { event(LeaseEvent.Write(writeEvent(result))) }
        }
    }

    private fun readBack(event: (LeaseEvent) -> Unit) {
        platform.get(KEY.kind.code, KEY.name) { result -> post { event(LeaseEvent.Write(readEvent(result))) } }
    }

    private fun observedEvent(result: PlatformResult<PlatformObject>): LeaseEvent? =
        when (result) {
            is PlatformResult.Ok -> LeaseEvent.Observed(result.value.toStored())
            is PlatformResult.NotFound -> LeaseEvent.Observed(null)
            is PlatformResult.Conflict, is PlatformResult.Unavailable -> null
        }

    private companion object {
        val KEY = ObjectKey(ObjectKind.LEASE, "orders")
    }
}
