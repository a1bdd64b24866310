package oriolespindle.core.order

import kotlinx.serialization.Serializable
import oriolespindle.core.config.Revision
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId

/** What an endpoint is to do. */
@Serializable
public sealed interface OrderCommand {
    /** The part of an endpoint's state that the command sets; of two commands for one part the newer one holds. */
    public val part: OrderPart

    /** Load [layers] of [version] of [model]; [bytes] come from the weight store. */
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

    /** Drop the weights of [model]. */
    @Serializable
    public data class Unload(
        public val model: ModelId,
    ) : OrderCommand {
        override val part: OrderPart get() = OrderPart.WEIGHTS
    }

    /** Take [role], for example prefill or decode. */
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

    /** The role that an endpoint has. */
    ROLE,
}

/**
 * An operator's order, stored as the object [name] at [version].
 *
 * Of several orders for the same part of one endpoint the one with the highest version holds, whoever carries it out
 * and in whatever order they are learned; the others are superseded.
 */
public data class OperatorOrder(
    public val name: String,
    public val version: Revision,
    public val endpoint: EndpointId,
    public val command: OrderCommand,
)

/** What an endpoint reads back as its state; [model] is null when it holds no weights. */
public data class EndpointState(
    public val model: ModelId?,
    public val layers: LayerRange?,
    public val version: String?,
    public val adapter: String? = null,
    public val role: String? = null,
    public val loading: Boolean = false,
) {
    /** Whether the effect that [command] asks for is in place. */
    public fun satisfies(command: OrderCommand): Boolean =
        when (command) {
            is OrderCommand.Load -> !loading && holds(command)
            is OrderCommand.Unload -> model != command.model
            is OrderCommand.ChangeRole -> role == command.role
        }

    private fun holds(load: OrderCommand.Load): Boolean =
        model == load.model && layers == load.layers && version == load.version && adapter == load.adapter
}

/** An endpoint that takes orders; [checksFence] says whether its engine refuses orders with an old fencing token. */
public data class OrderedEndpoint(
    public val id: EndpointId,
    public val checksFence: Boolean,
)
