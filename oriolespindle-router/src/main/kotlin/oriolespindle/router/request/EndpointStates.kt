package oriolespindle.router.request

import oriolespindle.core.chain.EndpointAvailability
import oriolespindle.core.config.StoredObject
import oriolespindle.core.id.EndpointId
import oriolespindle.core.lifecycle.EndpointLifecycle
import oriolespindle.core.lifecycle.PlatformEntry
import oriolespindle.core.lifecycle.PlatformState
import oriolespindle.core.time.Timestamp
import oriolespindle.router.directory.Directory
import oriolespindle.router.platform.PlatformInstanceList

/** Which endpoints may receive new work, from the platform's list, their own answers, drains and failed polls. */
internal class EndpointStates(
    private val directory: Directory,
) {
    private val lifecycle = EndpointLifecycle()
    private val failedPolls = HashMap<EndpointId, Int>()

    fun listed(
        now: Timestamp,
        list: PlatformInstanceList,
    ) {
        val entries =
            list.instances.filter { it.kind == "endpoint" }.mapNotNull { item ->
                state(item.state)?.let { PlatformEntry(EndpointId(item.id), it, item.address) }
            }
        lifecycle.onPlatformList(now, list.version, entries)
    }

    fun polled(
        now: Timestamp,
        endpoint: EndpointId,
        draining: Boolean,
    ) {
        failedPolls.remove(endpoint)
        lifecycle.onEndpointAnswer(now, endpoint, draining)
    }

    fun pollFailed(endpoint: EndpointId) {
        failedPolls.merge(endpoint, 1, Int::plus)
    }

    /** Takes a refusal in which the endpoint says that it is draining. */
    fun refusedAsDraining(
        now: Timestamp,
        endpoint: EndpointId,
    ) = lifecycle.onEndpointAnswer(now, endpoint, draining = true)

    fun drain(
        now: Timestamp,
        item: StoredObject,
    ) = lifecycle.onOperatorDrain(now, EndpointId(item.key.name), item.version.value, draining = !item.deleted)

    /** Returns the state of an engine; one that no source has named yet takes work so that it can answer at all. */
    fun engine(
        now: Timestamp,
        endpoint: EndpointId,
    ): EndpointAvailability {
        val state = known(now, endpoint)
        val isSuspect = (failedPolls[endpoint] ?: 0) >= SUSPECT_POLLS
        return if (state is EndpointAvailability.Serving && isSuspect) EndpointAvailability.Suspect else state
    }

    /** Returns whether a server of a plain service may receive new calls. */
    fun serves(
        now: Timestamp,
        endpoint: EndpointId,
    ): Boolean = known(now, endpoint) is EndpointAvailability.Serving

    /** Returns the state of every engine in the directory. */
    fun engines(now: Timestamp): Map<EndpointId, EndpointAvailability> =
        directory.engines().associate { it.id to engine(now, it.id) }

    private fun known(
        now: Timestamp,
        endpoint: EndpointId,
    ): EndpointAvailability =
        if (endpoint in lifecycle.endpoints) lifecycle.state(now, endpoint) else EndpointAvailability.Serving()

    private fun state(text: String): PlatformState? =
        when (text) {
            "live" -> PlatformState.LIVE
            "leaving" -> PlatformState.LEAVING
            "gone" -> PlatformState.GONE
            else -> null
        }

    private companion object {
        /** One failed poll may be the fault of a connection that went silent; the second one used another. */
        const val SUSPECT_POLLS = 2
    }
}
