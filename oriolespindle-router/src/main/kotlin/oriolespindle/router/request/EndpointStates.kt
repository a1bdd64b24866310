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

    fun onPlatformList(
        now: Timestamp,
        list: PlatformInstanceList,
    ) {
        val entries =
            list.instances.filter { it.kind == "endpoint" }.mapNotNull { item ->
                platformState(item.state)?.let { PlatformEntry(EndpointId(item.id), it, item.address) }
            }
        lifecycle.onPlatformList(now, list.version, entries)
    }

    fun onPollAnswer(
        now: Timestamp,
        endpoint: EndpointId,
        draining: Boolean,
    ) {
        failedPolls.remove(endpoint)
        lifecycle.onEndpointAnswer(now, endpoint, draining)
    }

    fun onPollFailure(endpoint: EndpointId) {
        failedPolls.merge(endpoint, 1, Int::plus)
    }

    /** Takes a refusal in which the endpoint says that it is draining. */
    fun onDrainingRefusal(
        now: Timestamp,
        endpoint: EndpointId,
    ) = lifecycle.onEndpointAnswer(now, endpoint, draining = true)

    fun onDrainChanged(
        now: Timestamp,
        item: StoredObject,
    ) = lifecycle.onOperatorDrain(now, EndpointId(item.key.name), item.version.value, draining = !item.deleted)

    /** Returns the state of an engine; one that no source has named yet takes work so that it can answer at all. */
    fun engineAvailability(
        now: Timestamp,
        endpoint: EndpointId,
    ): EndpointAvailability {
        val state = availability(now, endpoint)
        val isSuspect = (failedPolls[endpoint] ?: 0) >= MIN_FAILED_POLLS
        return if (state is EndpointAvailability.Serving && isSuspect) EndpointAvailability.Suspect else state
    }

    /** Returns whether a server of a plain service may receive new calls. */
    fun isServing(
        now: Timestamp,
        endpoint: EndpointId,
    ): Boolean = availability(now, endpoint) is EndpointAvailability.Serving

    /** Returns the state of every engine in the directory. */
    fun engineAvailabilities(now: Timestamp): Map<EndpointId, EndpointAvailability> =
        directory.engines().associate { it.id to engineAvailability(now, it.id) }

    private fun availability(
        now: Timestamp,
        endpoint: EndpointId,
    ): EndpointAvailability =
        if (endpoint in lifecycle.endpoints) lifecycle.state(now, endpoint) else EndpointAvailability.Serving()

    private fun platformState(text: String): PlatformState? =
        when (text) {
            "live" -> PlatformState.LIVE
            "leaving" -> PlatformState.LEAVING
            "gone" -> PlatformState.GONE
            else -> null
        }

    private companion object {
        /** One failed poll may be the fault of a connection that went silent; the second one used another. */
        const val MIN_FAILED_POLLS = 2
    }
}
