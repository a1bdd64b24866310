package oriolespindle.core.placement

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ZoneId
import oriolespindle.core.relay.RelayEndpoint

/** An order to [endpoint] to hold [layers]. */
public data class LayerOrder(
    public val endpoint: RelayEndpoint,
    public val layers: LayerRange,
    /** Whether requests in progress on layers that are unloaded are aborted instead of awaited. */
    public val cutsOff: Boolean = false,
)

/** The settings of [LayerPlacer]. */
public data class PlacementSettings(
    /**
     * The number of concurrent typical requests for which each endpoint reserves memory beside its layers.
     *
     * One path serves about as many at once before the gaps between events exceed the objective; docs/platform.md has
     * the figures.
     */
    public val targetRequests: Int = 56,
    /** The copies of a model below which less memory is reserved; with one copy, the first loss stops a zone. */
    public val minCopies: Double = 1.3,
    /** The number of concurrent typical requests for which memory is always reserved. */
    public val minRequests: Int = 12,
)

/**
 * Decides for each zone which layers each endpoint of a model should hold, so that every zone can serve alone.
 *
 * Loaded layers stay in place while all layers of the zone are covered. An empty endpoint gets the range with the
 * largest gain: layers without a holder come first, then those whose only holder would take the most layers with it
 * when it is lost. If a layer is not covered and no endpoint is empty, the smallest endpoint whose layers all have
 * another holder gets a new range: it loads fastest, and the large and fast endpoints stay in place for the return of
 * the lost one. The zone cannot serve alone until the range is loaded, so this order does not wait for requests that
 * pass through the endpoint, which may take as long as the slowest engine of their path needs. After the loss of
 * several endpoints at once, or while others are replaced, all repairs are ordered together; ranges that are being
 * loaded count as covered.
 */
public class LayerPlacer(
    private val settings: PlacementSettings = PlacementSettings(),
) {
    /**
     * Returns the orders to give now.
     *
     * [planned] contains the ranges that were ordered but that the endpoints do not report yet. An endpoint with layers
     * that the model does not have neither covers any nor receives an order.
     */
    public fun orders(
        model: ModelLayout,
        endpoints: List<RelayEndpoint>,
        planned: Map<EndpointId, LayerRange>,
    ): List<LayerOrder> =
        endpoints
            .filter { endpoint ->
                endpoint.accelerator in model.accelerators &&
                    endpoint.layers?.let { it in model } != false
            }.groupBy { it.zone }
            .toSortedMap(compareBy(ZoneId::value))
            .values
            .flatMap { zoneOrders(model, it, planned) }

    private fun zoneOrders(
        model: ModelLayout,
        endpoints: List<RelayEndpoint>,
        planned: Map<EndpointId, LayerRange>,
    ): List<LayerOrder> {
        val sizes = layerCounts(model, endpoints)
        val coverage = Coverage(model.layers)
        endpoints.forEach { endpoint -> assignedLayers(endpoint, planned)?.let(coverage::add) }
        val orders = ArrayList<LayerOrder>()
        endpoints
            .filter { assignedLayers(it, planned) == null && !it.isLeaving }
            .sortedWith(compareBy({ stepFactor(model, it) }, { it.id }))
            .forEach { endpoint ->
                val count = sizes.getValue(endpoint.id)
                if (count > 0) {
                    val range = coverage.bestRange(count)
                    coverage.add(range)
                    orders += LayerOrder(endpoint, range)
                }
            }
        while (coverage.hasUncoveredLayer) {
            val moving = orders.mapTo(HashSet(planned.keys)) { it.endpoint.id }
            orders += repairOrder(endpoints.filter { it.id !in moving }, sizes, coverage) ?: break
        }
        return orders
    }

    private fun repairOrder(
        endpoints: List<RelayEndpoint>,
        sizes: Map<EndpointId, Int>,
        coverage: Coverage,
    ): LayerOrder? {
        val spare =
            endpoints
                .filter { !it.isLeaving }
                .filter { endpoint -> endpoint.layers?.let(coverage::isCoveredWithout) ?: false }
                .minWithOrNull(compareBy({ checkNotNull(it.layers).size }, { it.id })) ?: return null
        coverage.remove(checkNotNull(spare.layers))
        val range = coverage.bestRange(sizes.getValue(spare.id))
        coverage.add(range)
        return LayerOrder(spare, range, cutsOff = true)
    }

    private fun assignedLayers(
        endpoint: RelayEndpoint,
        planned: Map<EndpointId, LayerRange>,
    ): LayerRange? = (planned[endpoint.id] ?: endpoint.layers).takeUnless { endpoint.isLeaving }

    /** Returns how many layers each endpoint should hold so that all have room for the same number of requests. */
    private fun layerCounts(
        model: ModelLayout,
        endpoints: List<RelayEndpoint>,
    ): Map<EndpointId, Int> {
        val typicalTokens = model.typicalPromptTokens + model.typicalAnswerTokens
        val staying = endpoints.filter { !it.isLeaving }
        val requests =
            (settings.targetRequests downTo settings.minRequests).firstOrNull { requests ->
                fittingLayers(model, staying, requests * typicalTokens).values.sum() >=
                    settings.minCopies * model.layers
            } ?: settings.minRequests
        return fittingLayers(model, endpoints, requests * typicalTokens)
    }

    private fun fittingLayers(
        model: ModelLayout,
        endpoints: List<RelayEndpoint>,
        tokens: Int,
    ): Map<EndpointId, Int> =
        endpoints.associate { it.id to model.maxLayersWithRoom(accelerator(model, it), tokens.toDouble()) }

    private fun stepFactor(
        model: ModelLayout,
        endpoint: RelayEndpoint,
    ): Double = accelerator(model, endpoint).stepFactor

    private fun accelerator(
        model: ModelLayout,
        endpoint: RelayEndpoint,
    ): Accelerator = model.accelerators.getValue(checkNotNull(endpoint.accelerator))
}
