package oriolespindle.core.placement

import org.junit.jupiter.api.Test
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ZoneId
import oriolespindle.core.relay.RelayEndpoint
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue
import java.util.SplittableRandom

class LayerPlacerTest {
    private val model = ModelFleet.model
    private val placer = LayerPlacer()

    private fun orders(endpoints: List<RelayEndpoint>) = placer.orders(model, endpoints, emptyMap())

    private fun zonesWithAllLayers(endpoints: List<RelayEndpoint>): Set<ZoneId> =
        endpoints
            .groupBy { it.zone }
            .filterValues { members ->
                (0 until model.layers).all { layer ->
                    members.any { it.layers?.contains(LayerRange(layer, layer + 1)) ?: false }
                }
            }.keys

    @Test
    fun `guards against a zone that cannot serve alone`() {
        expectThat(zonesWithAllLayers(ModelFleet.placed())).isEqualTo(setOf(ZoneId("a"), ZoneId("b"), ZoneId("c")))
    }

    @Test
    fun `guards against an order that exceeds an endpoint's memory or leaves no room for requests`() {
        for (endpoint in ModelFleet.placed()) {
            val held = checkNotNull(endpoint.layers)
            val accelerator = model.accelerators.getValue(checkNotNull(endpoint.accelerator))
            val usual = model.typicalPromptTokens + model.typicalAnswerTokens
            expectThat(held.size * model.layerMb).isGreaterThan(0.0)
            expectThat(model.tokenCapacity(accelerator, held.size))
                .isGreaterThanOrEqualTo(PlacementSettings().minRequests.toDouble() * usual)
        }
    }

    @Test
    fun `guards against moving layers without need`() {
        expectThat(orders(ModelFleet.placed())).isEmpty()
    }

    @Test
    fun `guards against repeating an order that is in progress`() {
        val endpoints = ModelFleet.endpoints()
        val given = orders(endpoints).associate { it.endpoint.id to it.layers }

        expectThat(placer.orders(model, endpoints, given)).isEmpty()
    }

    @Test
    fun `guards against a restarted endpoint staying empty`() {
        val placed = ModelFleet.placed()
        for (lost in placed) {
            val now = placed.map { if (it.id == lost.id) it.copy(layers = null, startedAt = 2) else it }
            expectThat(orders(now).map { it.endpoint.id }).isEqualTo(listOf(lost.id))
            expectThat(zonesWithAllLayers(ModelFleet.carryOut(now, orders(now))).size).isEqualTo(3)
        }
    }

    @Test
    fun `guards against layers that stay uncovered after an endpoint is gone for good`() {
        val placed = ModelFleet.placed()
        for (lost in placed) {
            var now = placed.filter { it.id != lost.id }
            repeat(4) { now = ModelFleet.carryOut(now, orders(now)) }
            expectThat(zonesWithAllLayers(now).size).isEqualTo(3)
        }
    }

    @Test
    fun `orders all repairs at once after several endpoints are lost together`() {
        val placed = ModelFleet.placed()
        val own = placed.filter { it.zone == ZoneId("a") }
        for ((index, first) in own.withIndex()) {
            for (second in own.drop(index + 1)) {
                val left = placed.filter { it.id != first.id && it.id != second.id }
                var repaired = left
                repeat(6) { repaired = ModelFleet.carryOut(repaired, orders(repaired)) }
                val atOnce = ModelFleet.carryOut(left, orders(left))

                expectThat(zonesWithAllLayers(atOnce)).isEqualTo(zonesWithAllLayers(repaired))
            }
        }
    }

    @Test
    fun `orders a repair while another endpoint of the zone loads layers that do not help`() {
        val placed = ModelFleet.placed()
        val own = placed.filter { it.zone == ZoneId("a") }
        val loading = own.first { it.accelerator == "large" }
        val planned = mapOf(loading.id to checkNotNull(loading.layers))
        for (lost in own - loading) {
            val left = placed - lost
            val orders = placer.orders(model, left, planned)

            expectThat(orders).isEqualTo(orders(left))
        }
    }

    @Test
    fun `guards against a repair that waits for slow requests, and against aborting requests without need`() {
        val placed = ModelFleet.placed()
        val moves =
            placed.flatMap { lost -> orders(placed.filter { it.id != lost.id }).filter { it.endpoint.layers != null } }
        val first = orders(placed.map { it.copy(layers = null) })

        expectThat(moves.isNotEmpty() && moves.all { it.cutsOff }).isTrue()
        expectThat(first.isNotEmpty() && first.none { it.cutsOff }).isTrue()
    }

    @Test
    fun `guards against a repair that waits for what another zone loads`() {
        val placed = ModelFleet.placed()
        val elsewhere = placed.first { it.zone == ZoneId("b") }
        val planned = mapOf(elsewhere.id to checkNotNull(elsewhere.layers))
        for (lost in placed.filter { it.zone == ZoneId("a") }) {
            val left = placed.filter { it.id != lost.id }
            val usual = LayerPlacer().orders(ModelFleet.model, left, emptyMap())

            expectThat(LayerPlacer().orders(ModelFleet.model, left, planned)).isEqualTo(usual)
        }
    }

    @Test
    fun `guards against a large endpoint moving to fill the place of a small one`() {
        val placed = ModelFleet.placed()
        for (lost in placed.filter { it.accelerator == "small" }) {
            val moved = orders(placed.filter { it.id != lost.id })
            expectThat(moved.none { it.endpoint.accelerator == "large" }).isTrue()
        }
    }

    @Test
    fun `guards against layers being lost when endpoints come and go`() {
        val random = SplittableRandom(11)
        repeat(20) {
            var now = ModelFleet.placed()
            repeat(30) {
                val hit = now[random.nextInt(now.size)]
                now = now.map { if (it.id == hit.id) it.copy(layers = null, startedAt = it.startedAt + 1) else it }
                repeat(3) { now = ModelFleet.carryOut(now, orders(now)) }
                expectThat(zonesWithAllLayers(now).size).isEqualTo(3)
            }
        }
    }

    @Test
    fun `guards against a leaving endpoint counting as a holder or getting an order`() {
        val placed = ModelFleet.placed()
        val leaving = placed.first { it.accelerator == "large" && it.zone == ZoneId("a") }
        val now = placed.map { if (it.id == leaving.id) it.copy(isLeaving = true) else it }
        val given = orders(now)

        expectThat(given.none { it.endpoint.id == leaving.id }).isTrue()
    }

    @Test
    fun `guards against an endpoint that begins to leave while it loads counting as a holder`() {
        val placed = ModelFleet.placed()
        val orderCounts =
            placed.map { holder ->
                val loading = mapOf(holder.id to checkNotNull(holder.layers))
                val now = placed.map { if (it.id == holder.id) it.copy(isLeaving = true) else it }
                expectThat(placer.orders(model, now, loading)).isEqualTo(orders(now))
                orders(now).size
            }

        expectThat(orderCounts.max()).isGreaterThan(0)
    }

    @Test
    fun `guards against a registration with layers that the model does not have hiding a layer without a holder`() {
        val placed = ModelFleet.placed()
        for (layers in ModelFleet.foreignRanges) {
            val foreign = ModelFleet.endpoint("foreign", "a", "large", layers)
            for (lost in placed) {
                var now = placed.filter { it.id != lost.id }
                repeat(4) { now = ModelFleet.carryOut(now, orders(now + foreign)) }
                expectThat(zonesWithAllLayers(now).size).isEqualTo(3)
            }
        }
    }
}
