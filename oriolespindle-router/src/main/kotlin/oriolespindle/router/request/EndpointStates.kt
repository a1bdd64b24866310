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

/** Tracks which endpoints may receive work, from the platform's list, endpoint answers, drains and failed polls. */
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

    /** Records that [endpoint] refused a request because it is draining. */
    fun onDrainingRefusal(
        now: Timestamp,
        endpoint: EndpointId,
    ) = lifecycle.onEndpointAnswer(now, endpoint, draining = true)

    fun onDrainChanged(
        now: Timestamp,
        item: StoredObject,
    ) = lifecycle.onOperatorDrain(now, EndpointId(item.key.name), item.version.value, draining = !item.deleted)

    /** Returns the availability of an engine; one not reported yet serves, so that it can answer at all. */
    fun engineAvailability(
        now: Timestamp,
        endpoint: EndpointId,
    ): EndpointAvailability {
        val state = availability(now, endpoint)
        val isSuspect = (failedPolls[endpoint] ?: 0) >= MIN_FAILED_POLLS
        return if (state is EndpointAvailability.Serving && isSuspect) EndpointAvailability.Suspect else state
    }

    /** Returns whether an endpoint of a plain service may receive new calls. */
    fun isServing(
        now: Timestamp,
        endpoint: EndpointId,
    ): Boolean = availability(now, endpoint) is EndpointAvailability.Serving

    /** Returns the availability of every engine in the directory. */
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
        /**
         * The number of consecutive failed polls that make an engine suspect.
         *
         * One failure may be due to a connection that stopped responding; the next poll uses another connection.
         */
        const val MIN_FAILED_POLLS = 2
    }
}
