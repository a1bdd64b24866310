package oriolespindle.testkit.fleet

import kotlinx.serialization.Serializable
import oriolespindle.testkit.engine.EngineSettings
import oriolespindle.testkit.http.wireJson
import oriolespindle.testkit.platform.PlatformInstance

/** The key of the team that the local fleet's contract names by its digest. */
internal const val DEMO_KEY = "demo-key"
internal const val DEMO_MODEL = "demo"
internal const val DEMO_SERVICE = "orders"

private const val DEMO_LAYERS = 40
private const val MIDDLE_LAYER = 20
private const val TOKENS_PER_SECOND = 1000.0
private const val CONTRACT_RESOURCE = "/local-fleet/contract.json"
private val zones = listOf("z1", "z2", "z3")

/** One platform, two engines and one plain service endpoint in each of three zones, and an instance for each zone. */
internal class LocalFleet private constructor(
    val platform: FleetProcess,
    val engines: List<FleetProcess>,
    val services: List<FleetProcess>,
    val routers: List<FleetProcess>,
) {
    companion object {
        /** Starts the fleet in [processes] and waits until it is ready. */
        fun start(processes: ProcessFleet): LocalFleet {
            val settings = engineSettings()
            val engines = settings.map { processes.engine(it) }
            val services = zones.indices.map { processes.service("$DEMO_SERVICE-${it + 1}") }
            val endpoints = engineObjects(engines, settings) + serviceObjects(services)
            val platform = processes.platform(endpoints + fixedObjects())
            processes.awaitReady()
            (engines + services).forEach { platform.register(it.asEndpoint(zoneOf(it, engines, services))) }
            val routers =
                zones.mapIndexed { index, zone -> processes.router("router-${index + 1}", zone, platform.address) }
            processes.awaitReady()
            return LocalFleet(platform, engines, services, routers)
        }
    }
}

@Serializable
private data class ModelValue(
    val layers: Int,
)

@Serializable
private data class EngineEndpointValue(
    val address: String,
    val zone: String,
    val model: String,
    val first: Int,
    val end: Int,
    val tokensPerSecond: Double,
    val accelerator: String,
    val checksFence: Boolean,
)

@Serializable
private data class ServiceEndpointValue(
    val address: String,
    val zone: String,
    val service: String,
)

@Serializable
private data class ServiceValue(
    val nonIdempotentMethods: List<String>,
)

private fun engineSettings(): List<EngineSettings> =
    zones.indices.flatMap { zone ->
        listOf(
            EngineSettings("e${zone * 2 + 1}", DEMO_MODEL, 0, MIDDLE_LAYER, tokensPerSecond = TOKENS_PER_SECOND),
            EngineSettings(
                "e${zone * 2 + 2}",
                DEMO_MODEL,
                MIDDLE_LAYER,
                DEMO_LAYERS,
                tokensPerSecond = TOKENS_PER_SECOND,
            ),
        )
    }

private fun engineObjects(
    engines: List<FleetProcess>,
    settings: List<EngineSettings>,
): List<FleetObject> =
    engines.zip(settings).mapIndexed { index, (engine, its) ->
        val value =
            EngineEndpointValue(
                address = engine.address,
                zone = zones[index / 2],
                model = its.model,
                first = its.first,
                end = its.end,
                tokensPerSecond = its.tokensPerSecond,
                accelerator = "a",
                checksFence = its.checksFence,
            )
        FleetObject("endpoint", engine.name, wireJson.encodeToString(value))
    }

private fun serviceObjects(services: List<FleetProcess>): List<FleetObject> =
    services.mapIndexed { index, service ->
        val value = ServiceEndpointValue(service.address, zones[index], DEMO_SERVICE)
        FleetObject("endpoint", service.name, wireJson.encodeToString(value))
    }

private fun fixedObjects(): List<FleetObject> {
    val contract = checkNotNull(LocalFleet::class.java.getResource(CONTRACT_RESOURCE)) { "no $CONTRACT_RESOURCE" }
    return listOf(
        FleetObject("model", DEMO_MODEL, wireJson.encodeToString(ModelValue(DEMO_LAYERS))),
        FleetObject("service", DEMO_SERVICE, wireJson.encodeToString(ServiceValue(listOf("POST")))),
        FleetObject("contract", "team-a", contract.readText()),
    )
}

private fun zoneOf(
    endpoint: FleetProcess,
    engines: List<FleetProcess>,
    services: List<FleetProcess>,
): String = if (endpoint in engines) zones[engines.indexOf(endpoint) / 2] else zones[services.indexOf(endpoint)]

private fun FleetProcess.asEndpoint(zone: String) = PlatformInstance(name, zone, address, "endpoint", "live")
