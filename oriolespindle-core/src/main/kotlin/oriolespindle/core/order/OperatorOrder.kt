package oriolespindle.core.order

import kotlinx.serialization.Serializable
import oriolespindle.core.config.Revision
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId

/** A command to an endpoint. */
@Serializable
public sealed interface OrderCommand {
    /** The part of an endpoint's state that the command sets; the newest command for a part is in force. */
    public val part: OrderPart

    /** Load [layers] of [version] of [model], which transfers [bytes] from the weight store. */
    @Serializable
    public data class Load(
        public val model: ModelId,
        public val layers: LayerRange,
        public val version: String,
        public val adapter: String? = null,
        public val bytes: Long = 0,
    ) : OrderCommand {
        override val part: OrderPart get() = OrderPart.WEIGHTS
    }

    /** Unload the weights of [model]. */
    @Serializable
    public data class Unload(
        public val model: ModelId,
    ) : OrderCommand {
        override val part: OrderPart get() = OrderPart.WEIGHTS
    }

    /** Change the role to [role], for example prefill or decode. */
    @Serializable
    public data class ChangeRole(
        public val role: String,
    ) : OrderCommand {
        override val part: OrderPart get() = OrderPart.ROLE
    }
}

/** The parts of an endpoint's state that orders set independently. */
public enum class OrderPart {
    /** The model, layers, version and adapter that an endpoint holds. */
    WEIGHTS,

    /** The role of an endpoint. */
    ROLE,
}

/**
 * An operator's order, stored as the object [name] at [version].
 *
 * Of several orders for the same part of one endpoint, the one with the highest version is in force and the others are
 * superseded. The result depends neither on the instance that carries it out nor on the order in which it learns them.
 */
public data class OperatorOrder(
    public val name: String,
    public val version: Revision,
    public val endpoint: EndpointId,
    public val command: OrderCommand,
)

/** The state that an endpoint reports; [model] is null if the endpoint holds no weights. */
public data class EndpointState(
    public val model: ModelId?,
    public val layers: LayerRange?,
    public val version: String?,
    public val adapter: String? = null,
    public val role: String? = null,
    public val loading: Boolean = false,
) {
    /** Returns whether this state shows the effect of [command]. */
    public fun satisfies(command: OrderCommand): Boolean =
        when (command) {
            is OrderCommand.Load -> !loading && holds(command)
            is OrderCommand.Unload -> model != command.model
            is OrderCommand.ChangeRole -> role == command.role
        }

    private fun holds(load: OrderCommand.Load): Boolean =
        model == load.model && layers == load.layers && version == load.version && adapter == load.adapter
}

/** An endpoint that accepts orders; [checksFence] tells whether its engine rejects orders with an old fencing token. */
public data class OrderedEndpoint(
    public val id: EndpointId,
    public val checksFence: Boolean,
)
