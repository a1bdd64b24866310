package oriolespindle.core.placement

import oriolespindle.core.id.EndpointId

/** Estimates the load of endpoints from this instance's requests: their tokens times the layers that run them. */
public class PathLoad {
    private val tokenLayers = HashMap<EndpointId, Double>()

    /** The number of instances whose requests run in this instance's zone, at least 1. */
    public var instances: Int = 1
        set(value) {
            field = value.coerceAtLeast(1)
        }

    /** Adds a request of [tokens] tokens to the endpoints of [path]. */
    public fun onRequestStarted(
        path: LayerPath,
        tokens: Int,
    ) {
        path.parts.forEach { part -> tokenLayers.merge(part.endpoint.id, tokenLayerCount(part, tokens), Double::plus) }
    }

    /** Removes a request that was added with the same arguments. */
    public fun onRequestEnded(
        path: LayerPath,
        tokens: Int,
    ) {
        path.parts.forEach { part ->
            tokenLayers.computeIfPresent(part.endpoint.id) { _, sum ->
                (sum - tokenLayerCount(part, tokens)).takeIf { it > ROUNDING_ERROR }
            }
        }
    }

    /** Returns the used fraction of [endpoint]'s memory for requests, assuming equal load from all instances. */
    public fun utilization(
        model: ModelLayout,
        accelerator: Accelerator,
        endpoint: EndpointId,
        layers: Int,
    ): Double {
        val capacity = model.tokenCapacity(accelerator, layers) * layers
        if (capacity <= 0) return 1.0
        return (tokenLayers[endpoint] ?: 0.0) * instances / capacity
    }

    private fun tokenLayerCount(
        part: PathPart,
        tokens: Int,
    ): Double = tokens.toDouble() * part.layers.size

    private companion object {
        const val ROUNDING_ERROR = 1e-6
    }
}
