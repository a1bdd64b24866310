package oriolespindle.core.placement

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ZoneId
import oriolespindle.core.load.SharedLoad
import oriolespindle.core.relay.RelayEndpoint
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.SplittableRandom

class PathFinderTest {
    private val model = ModelFleet.model
    private val finder = PathFinder(ZoneId("a"))

    private fun find(
        endpoints: List<RelayEndpoint>,
        load: (EndpointId) -> Double = { 0.0 },
        avoid: Set<EndpointId> = emptySet(),
    ) = finder.find(model, endpoints, load, avoid)

    private fun runsEachLayerOnce(path: LayerPath): Boolean {
        val starts = path.parts.map { it.layers.first }
        val ends = path.parts.map { it.layers.end }
        val joined = starts.first() == 0 && ends.last() == model.layers && starts.drop(1) == ends.dropLast(1)
        val held = path.parts.all { it.layers in checkNotNull(it.endpoint.layers) }
        return joined && held && path.parts.distinctBy { it.endpoint.id }.size == path.parts.size
    }

    @Test
    fun `guards against a layer that is missing, repeated or not held`() {
        val path = find(ModelFleet.placed())

        expectThat(path).isNotNull().get { runsEachLayerOnce(this) }.isTrue()
    }

    @Test
    fun `guards against a broken path after the loss of any endpoint`() {
        val placed = ModelFleet.placed()
        for (lost in placed) {
            val path = find(placed, avoid = setOf(lost.id))
            expectThat(
                path,
            ).isNotNull().get { runsEachLayerOnce(this) && parts.none { it.endpoint.id == lost.id } }.isTrue()
        }
    }

    @Test
    fun `guards against paths that cross zones while one zone has all layers`() {
        val placed = ModelFleet.placed()
        val broken = placed.filterNot { it.zone == ZoneId("a") && checkNotNull(it.layers).first == 0 }
        val path = find(broken)

        expectThat(path).isNotNull().get { parts.map { it.endpoint.zone }.distinct().size }.isEqualTo(1)
        expectThat(path).isNotNull().get { first.zone != ZoneId("a") }.isTrue()
    }

    @Test
    fun `guards against refusing requests that only several zones together can serve`() {
        val halves =
            listOf(
                ModelFleet.endpoint("x", "b", "large", LayerRange(0, 41)),
                ModelFleet.endpoint("y", "c", "large", LayerRange(39, 80)),
            )

        expectThat(find(halves)).isNotNull().get { runsEachLayerOnce(this) }.isTrue()
        expectThat(find(halves.take(1))).isNull()
    }

    @Test
    fun `guards against sending requests to a full zone while another has room`() {
        val placed = ModelFleet.placed()
        val own = placed.filter { it.zone == ZoneId("a") }.mapTo(HashSet()) { it.id }
        val path = find(placed, load = { if (it in own) 1.0 else 0.0 })

        expectThat(path).isNotNull().get { first.zone != ZoneId("a") }.isTrue()
    }

    @Test
    fun `does not weigh the endpoints of other zones while the own zone has a fast path`() {
        val weighed = HashSet<EndpointId>()
        val placed = ModelFleet.placed()
        find(placed, load = { id -> weighed.add(id).let { 0.0 } })

        expectThat(weighed).isEqualTo(placed.filter { it.zone == ZoneId("a") }.mapTo(HashSet()) { it.id })
    }

    @Test
    fun `guards against load that stays after its request has ended`() {
        val load = SharedLoad()
        val path = checkNotNull(find(ModelFleet.placed()))
        val first = path.parts.first()
        val accelerator = model.accelerators.getValue(checkNotNull(first.endpoint.accelerator))
        load.onRequestStarted(path, 1_000)
        val utilization = load.utilization(model, accelerator, first.endpoint.id, first.layers.size)
        load.onRequestEnded(path, 1_000)

        expectThat(utilization > 0).isTrue()
        expectThat(load.utilization(model, accelerator, first.endpoint.id, first.layers.size)).isEqualTo(0.0)
    }

    @Test
    fun `guards against a path through a registration with layers that the model does not have`() {
        val placed = ModelFleet.placed()
        for (layers in ModelFleet.foreignRanges) {
            val foreign = ModelFleet.endpoint("foreign", "a", "large", layers)

            expectThat(find(placed + foreign)).isEqualTo(find(placed))
        }
    }

    @Test
    fun `guards against instances with the same view that all choose one path`() {
        val copies = List(3) { ModelFleet.endpoint("e$it", "a", "large", LayerRange(0, 80)) }
        val chosen =
            (1L..20L).map { seed ->
                finder.find(model, copies, { 0.3 }, balance = PathBalance(SplittableRandom(seed)))?.first
            }

        expectThat(chosen.toSet()).isEqualTo(copies.toSet())
    }

    @Test
    fun `guards against a full endpoint on a path while a much slower one has room`() {
        val ranges = listOf(LayerRange(0, 1), LayerRange(1, 80))
        val fast = ranges.mapIndexed { index, layers -> ModelFleet.endpoint("fast-$index", "a", "large", layers) }
        val slow = ModelFleet.endpoint("slow", "a", "slow", LayerRange(0, 80))
        val load = { id: EndpointId -> if (id.value == "fast-0") 0.9 else 0.0 }
        val path = finder.find(model, fast + slow, load, balance = PathBalance(SplittableRandom(1)))

        expectThat(path).isNotNull().get { first.id }.isEqualTo(slow.id)
        expectThat(finder.find(model, fast, load, balance = PathBalance(SplittableRandom(1)))).isNotNull()
    }

    @Test
    fun `guards against requests to another zone whose load is unknown`() {
        val own = ModelFleet.endpoint("own", "a", "slow", LayerRange(0, 80))
        val other = ModelFleet.endpoint("other", "b", "slow", LayerRange(0, 80))
        val load = { id: EndpointId -> if (id == own.id) 0.85 else 0.0 }
        val cheapCrossing = PathFinder(ZoneId("a"), PathSettings(otherZonePenaltyMillis = 8.0))
        val zone = { isKnown: Boolean ->
            val balance = PathBalance(SplittableRandom(1), isKnown = { isKnown })
            cheapCrossing.find(model, listOf(own, other), load, balance = balance)?.first?.zone
        }

        expectThat(zone(false)).isEqualTo(ZoneId("a"))
        expectThat(zone(true) != ZoneId("a")).isTrue()
    }
}
