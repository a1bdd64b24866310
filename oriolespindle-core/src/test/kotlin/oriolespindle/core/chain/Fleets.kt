package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.ZoneId
import java.util.random.RandomGenerator
import kotlin.time.Duration.Companion.microseconds

internal val MODEL = ModelSpec(ModelId("m"), layers = 80)

internal fun endpoint(
    id: String,
    first: Int,
    end: Int,
    rate: Double,
    zone: String = "z1",
): EndpointSpec = EndpointSpec(EndpointId(id), id, ZoneId(zone), MODEL.id, LayerRange(first, end), rate, "a")

internal fun topology(
    endpoints: List<EndpointSpec>,
    links: List<LinkSpec> = emptyList(),
): Topology = Topology(MODEL, endpoints, links) { _, _ -> LinkRate(1e6, 500.microseconds) }

internal fun query(
    request: String,
    prefix: PrefixHash = PrefixHash.NONE,
    priority: Int = 0,
    avoid: Set<EndpointId> = emptySet(),
    keep: List<Stage> = emptyList(),
    zone: String = "z1",
): RouteQuery =
    RouteQuery(
        request = RequestId(request),
        model = MODEL.id,
        prefix = prefix,
        promptTokens = 200,
        maxTokens = 100,
        priority = priority,
        zone = ZoneId(zone),
        avoid = avoid,
        keep = keep,
    )

/** A fleet of endpoints with ranges of several widths, rates that differ 8 times and links that differ 100 times. */
internal fun mixedFleet(
    random: RandomGenerator,
    endpoints: Int,
    widths: List<Int>,
): Topology {
    val specs =
        List(endpoints) { i ->
            val width = widths[i % widths.size]
            val slots = MODEL.layers / width
            val first = (i / widths.size) % slots * width
            val rate = 50.0 * (1 shl random.nextInt(4)) * width / 80.0 * 4
            endpoint("e$i", first, first + width, rate, zone = "z${i % 3 + 1}")
        }
    val links =
        specs.flatMap { from ->
            specs
                .filter { it.id != from.id && it.layers.first <= from.layers.end && from.layers.end < it.layers.end }
                .filter { random.nextInt(4) == 0 }
                .map { LinkSpec(from.id, it.id, 10.0 * (1 + random.nextInt(100)), 500.microseconds) }
        }
    return topology(specs, links)
}
