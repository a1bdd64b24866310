package oriolespindle.router.directory

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import oriolespindle.core.chain.EndpointSpec
import oriolespindle.core.chain.LinkRate
import oriolespindle.core.chain.LinkSpec
import oriolespindle.core.chain.ModelSpec
import oriolespindle.core.chain.Topology
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.StoredObject
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.router.http.Address
import kotlin.time.Duration.Companion.milliseconds

/** An endpoint that serves a plain service. */
internal data class ServiceEndpoint(
    val id: EndpointId,
    val address: Address,
    val zone: ZoneId,
    val service: ServiceId,
)

/** Why a version of a stored object cannot be used; its last valid version stays in force. */
internal data class ObjectFault(
    val key: ObjectKey,
    val version: Long,
    val message: String,
)

/** The models, services and endpoints in force, decoded from stored objects. */
internal class Directory {
    private val json = Json
    private val models = HashMap<ModelId, ModelValue>()
    private val services = HashMap<ServiceId, ServiceValue>()
    private val engines = HashMap<EndpointId, EndpointSpec>()
    private val enginesIgnoringFence = HashSet<EndpointId>()
    private val servers = HashMap<EndpointId, ServiceEndpoint>()
    private val faults = LinkedHashMap<ObjectKey, ObjectFault>()

    fun faults(): List<ObjectFault> = faults.values.toList()

    fun models(): Set<ModelId> = models.keys

    fun engines(): Collection<EndpointSpec> = engines.values

    /** Whether the engine refuses orders with a stale fencing token. */
    fun checksFence(id: EndpointId): Boolean = id !in enginesIgnoringFence

    fun engine(id: EndpointId): EndpointSpec? = engines[id]

    fun servers(): Collection<ServiceEndpoint> = servers.values

    fun service(id: ServiceId): ServiceValue? = services[id]

    fun servers(service: ServiceId): List<ServiceEndpoint> =
        servers.values.filter { it.service == service }.sortedBy { it.id }

    /** Returns the endpoints and links of [model], or null when the model is unknown. */
    fun topology(model: ModelId): Topology? {
        val value = models[model] ?: return null
        return Topology(
            model = ModelSpec(model, value.layers),
            endpoints = engines.values.filter { it.model == model }.sortedBy { it.id },
            links = value.links.map(::link),
            defaultLink = { from, to -> defaultLink(value, from, to) },
        )
    }

    /** Applies a new version of an object and returns the models whose topology it changes. */
    fun apply(item: StoredObject): Set<ModelId> {
        faults.remove(item.key)
        return when (item.key.kind) {
            ObjectKind.MODEL -> applyModel(item)
            ObjectKind.SERVICE -> applyService(item)
            ObjectKind.ENDPOINT -> applyEndpoint(item)
            else -> emptySet()
        }
    }

    private fun applyModel(item: StoredObject): Set<ModelId> {
        val id = ModelId(item.key.name)
        if (item.deleted) {
            models.remove(id)
            return setOf(id)
        }
        val value = decode(item, ModelValue.serializer()) ?: return emptySet()
        if (value.layers <= 0) return recordFault(item, "layers is ${value.layers}, must be positive")
        models[id] = value
        return setOf(id)
    }

    private fun applyService(item: StoredObject): Set<ModelId> {
        val id = ServiceId(item.key.name)
        if (item.deleted) {
            services.remove(id)
        } else {
            decode(item, ServiceValue.serializer())?.let { services[id] = it }
        }
        return emptySet()
    }

    private fun applyEndpoint(item: StoredObject): Set<ModelId> {
        val id = EndpointId(item.key.name)
        val before = engines[id]?.model
        if (item.deleted) {
            engines.remove(id)
            servers.remove(id)
            return setOfNotNull(before)
        }
        val value = decode(item, EndpointValue.serializer()) ?: return emptySet()
        val address =
            Address.parseOrNull(value.address)
                ?: return recordFault(item, "address is '${value.address}', must be IP:PORT with a numeric IP address")
        if (value.service != null) {
            engines.remove(id)
            servers[id] = ServiceEndpoint(id, address, ZoneId(value.zone), ServiceId(value.service))
            return setOfNotNull(before)
        }
        val spec = engineSpec(id, value) ?: return recordFault(item, ENGINE_RULE)
        servers.remove(id)
        engines[id] = spec
        if (value.checksFence) enginesIgnoringFence.remove(id) else enginesIgnoringFence.add(id)
        return setOfNotNull(before, spec.model)
    }

    private fun engineSpec(
        id: EndpointId,
        value: EndpointValue,
    ): EndpointSpec? {
        val model = value.model ?: return null
        val first = value.first ?: return null
        val end = value.end ?: return null
        val rate = value.tokensPerSecond ?: return null
        if (first < 0 || end <= first || rate <= 0.0) return null
        return EndpointSpec(
            id = id,
            address = value.address,
            zone = ZoneId(value.zone),
            model = ModelId(model),
            layers = LayerRange(first, end),
            tokensPerSecond = rate,
            accelerator = value.accelerator,
        )
    }

    private fun link(value: LinkValue): LinkSpec =
        LinkSpec(
            from = EndpointId(value.from),
            to = EndpointId(value.to),
            tokensPerSecond = value.tokensPerSecond,
            latency = value.latencyMs.milliseconds,
        )

    private fun defaultLink(
        model: ModelValue,
        from: EndpointSpec,
        to: EndpointSpec,
    ): LinkRate {
        val default = if (from.zone == to.zone) model.sameZone else model.crossZone
        return LinkRate(default.tokensPerSecond, default.latencyMs.milliseconds)
    }

    private fun <T> decode(
        item: StoredObject,
        serializer: KSerializer<T>,
    ): T? =
        try {
            json.decodeFromString(serializer, checkNotNull(item.value))
        } catch (e: SerializationException) {
            recordFault(
                item,
                e.message
                    .orEmpty()
                    .lineSequence()
                    .first(),
            )
            null
        }

    private fun recordFault(
        item: StoredObject,
        message: String,
    ): Set<ModelId> {
        faults[item.key] = ObjectFault(item.key, item.version.value, message)
        return emptySet()
    }

    private companion object {
        const val ENGINE_RULE =
            "an endpoint needs either 'service', or 'model', 'first' >= 0, 'end' > 'first' and 'tokensPerSecond' > 0"
    }
}
