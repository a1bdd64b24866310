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

/**
 * Returns a fleet of endpoints of three accelerator kinds whose speeds differ by a factor of 8, with ranges of several
 * [widths].
 *
 * Ranges of different widths overlap. Links are fast, or differ by a factor of 100 if [slowLinks] is set.
 */
internal fun mixedFleet(
    random: RandomGenerator,
    endpoints: Int,
    widths: List<Int>,
    slowLinks: Boolean = true,
): Topology {
    val specs =
        List(endpoints) { i ->
            val width = widths[i % widths.size]
            val first = i / widths.size % (MODEL.layers / width) * width
            val layersPerSecond = LAYERS_PER_SECOND[random.nextInt(LAYERS_PER_SECOND.size)]
            endpoint("e$i", first, first + width, layersPerSecond / width, zone = "z${i % 3 + 1}")
        }
    if (!slowLinks) return topology(specs)
    val links =
        specs.flatMap { from ->
            specs
                .filter { it.layers.first <= from.layers.end && from.layers.end < it.layers.end }
                .map { LinkSpec(from.id, it.id, 10.0 * (1 + random.nextInt(100)), 500.microseconds) }
        }
    return topology(specs, links)
}

private val LAYERS_PER_SECOND = listOf(8_000.0, 4_000.0, 1_000.0)
