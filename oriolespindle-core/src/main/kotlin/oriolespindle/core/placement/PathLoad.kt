package oriolespindle.core.placement

import oriolespindle.core.id.EndpointId

/** The tokens of this instance's own requests on each endpoint, weighted by the layers that run them. */
public class PathLoad {
    private val tokenLayers = HashMap<EndpointId, Double>()

    /** The number of instances whose requests run in the own zone, at least 1. */
    public var instances: Int = 1
        set(value) {
            field = value.coerceAtLeast(1)
        }

    /** A request of [tokens] runs on [path]. */
    public fun onRequestStarted(
        path: LayerPath,
        tokens: Int,
    ) {
        path.parts.forEach { part -> tokenLayers.merge(part.endpoint.id, tokenLayerCount(part, tokens), Double::plus) }
    }

    /** The request has ended. */
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

    /** Returns the used part of the memory of [endpoint] for requests, with all instances as loaded as this one. */
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
