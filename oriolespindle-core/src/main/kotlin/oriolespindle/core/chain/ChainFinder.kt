package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange

/**
 * Finds a chain outside the plan: one that contains stages to keep, or any chain if no planned chain is available.
 *
 * [stageCost] returns the expected seconds for a token at an endpoint and [hopCost] those on a link; [find] minimizes
 * their sum. No endpoint runs two stages of a chain.
 */
internal class ChainFinder(
    private val model: ModelSpec,
    private val endpoints: List<EndpointSpec>,
    private val stageCost: (EndpointSpec) -> Double,
    private val hopCost: (EndpointSpec, EndpointSpec) -> Double,
) {
    private val specs = endpoints.associateBy { it.id }

    /** Returns the chain of least cost that contains [keep], or null if some layer has no endpoint. */
    fun find(keep: List<Stage>): Chain? {
        val kept = keep.sortedBy { it.layers.first }
        val stages = ArrayList<Stage>()
        var boundary = 0
        for (stage in kept) {
            if (stage.layers.first < boundary) return null
            if (boundary < stage.layers.first) {
                stages +=
                    fillGap(Gap(boundary, stage.layers.first, stages.lastOrNull(), stage, kept + stages)) ?: return null
            }
            stages += stage
            boundary = stage.layers.end
        }
        if (boundary < model.layers) {
            stages += fillGap(Gap(boundary, model.layers, stages.lastOrNull(), null, kept + stages)) ?: return null
        }
        return Chain(model.id, stages)
    }

    private fun fillGap(gap: Gap): List<Stage>? {
        val usable =
            endpoints
                .filter { it.id !in gap.excluded && it.layers.first < gap.end && it.layers.end > gap.first }
                .sortedBy { it.layers.end }
        val partials = ArrayList<PartialChain>()
        for (spec in usable) cheapestPartial(gap, spec, partials)?.let(partials::add)
        val complete = partials.filter { it.end == gap.end }
        val last = complete.minByOrNull { it.cost + linkCost(it.spec, gap.after) } ?: return null
        return generateSequence(last) { it.before }
            .map { Stage(it.spec.id, LayerRange(it.before?.end ?: gap.first, it.end)) }
            .toList()
            .asReversed()
    }

    private fun cheapestPartial(
        gap: Gap,
        spec: EndpointSpec,
        partials: List<PartialChain>,
    ): PartialChain? {
        val end = minOf(spec.layers.end, gap.end)
        val endpointCost = stageCost(spec)
        val starting =
            PartialChain(spec, end, endpointCost + linkCost(gap.before, spec), before = null)
                .takeIf { spec.layers.first <= gap.first }
        val following =
            partials
                .filter { it.end < end && spec.layers.first <= it.end }
                .map { PartialChain(spec, end, it.cost + hopCost(it.spec, spec) + endpointCost, it) }
        return (following + listOfNotNull(starting)).minByOrNull { it.cost }
    }

    private fun linkCost(
        from: EndpointSpec?,
        to: EndpointSpec?,
    ): Double = if (from == null || to == null) 0.0 else hopCost(from, to)

    private inner class Gap(
        val first: Int,
        val end: Int,
        before: Stage?,
        after: Stage?,
        taken: List<Stage>,
    ) {
        val before = before?.let { specs[it.endpoint] }
        val after = after?.let { specs[it.endpoint] }
        val excluded: Set<EndpointId> = taken.mapTo(HashSet()) { it.endpoint }
    }

    private class PartialChain(
        val spec: EndpointSpec,
        val end: Int,
        val cost: Double,
        val before: PartialChain?,
    )
}
