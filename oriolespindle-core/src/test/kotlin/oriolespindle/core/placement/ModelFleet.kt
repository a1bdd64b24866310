package oriolespindle.core.placement

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.relay.RelayEndpoint
import kotlin.time.Duration.Companion.seconds

/** A model and three zones of endpoints as in the first deployments of users. */
internal object ModelFleet {
    val model =
        ModelLayout(
            layers = 80,
            layerMb = 1_750.0,
            tokenLayerBytes = 10_567.0,
            accelerators =
                listOf(
                    Accelerator("large", 72_000.0, stepFactor = 2.4, prefillFactor = 3.2),
                    Accelerator("small", 14_400.0, stepFactor = 5.3, prefillFactor = 7.9),
                    Accelerator("slow", 21_600.0, stepFactor = 16.0, prefillFactor = 8.2),
                ).associateBy { it.name },
            stepMillis = 1.02,
            stepMillisPerRequest = 0.0066,
            prefillTokensPerSecond = 164_000.0,
            loadTime = 14.seconds,
            maxConcurrentLoads = 6,
            typicalPromptTokens = 775,
            typicalAnswerTokens = 216,
        )

    /** Ranges of layers, some of which [model] does not have. */
    val foreignRanges =
        listOf(LayerRange(0, 81), LayerRange(0, Int.MAX_VALUE), LayerRange(79, 81), LayerRange(200, 300))

    private val zones =
        mapOf(
            "a" to mapOf("large" to 1, "small" to 10, "slow" to 4),
            "b" to mapOf("large" to 2, "small" to 4, "slow" to 4),
            "c" to mapOf("large" to 1, "small" to 6, "slow" to 6),
        )

    fun endpoints(): List<RelayEndpoint> =
        zones.flatMap { (zone, kinds) ->
            kinds.flatMap { (kind, count) -> (1..count).map { endpoint("$zone-$kind-$it", zone, kind) } }
        }

    fun endpoint(
        id: String,
        zone: String,
        kind: String,
        layers: LayerRange? = null,
    ) = RelayEndpoint(
        id = EndpointId(id),
        service = ServiceId("m"),
        address = "10.0.0.1:80",
        zone = ZoneId(zone),
        startedAt = 1,
        slots = 134,
        accelerator = kind,
        layers = layers,
    )

    /** Returns [endpoints] with the layers that they hold after carrying out [orders]. */
    fun carryOut(
        endpoints: List<RelayEndpoint>,
        orders: List<LayerOrder>,
    ): List<RelayEndpoint> {
        val ranges = orders.associate { it.endpoint.id to it.layers }
        return endpoints.map { endpoint -> ranges[endpoint.id]?.let { endpoint.copy(layers = it) } ?: endpoint }
    }

    fun placed(): List<RelayEndpoint> = endpoints().let { carryOut(it, LayerPlacer().orders(model, it, emptyMap())) }
}
