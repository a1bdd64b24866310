package oriolespindle.router.relay

import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.WriteAction
import oriolespindle.core.config.WriteEvent
import oriolespindle.core.placement.LayerOrder
import oriolespindle.core.relay.RelayEndpoint

/** The result of an order to load layers. */
public enum class PlaceResult {
    /** The engine has started to load the layers, or already has them. */
    ACCEPTED,

    /** The engine refused the order, or the order was not sent. */
    REJECTED,

    /** No answer arrived; the engine may still carry out the order. */
    UNKNOWN,
}

/** The answer of a path's first engine to the question why a request makes no progress. */
public sealed interface StallReport {
    /** The engine waits for the engine at [address]. */
    public data class WaitsFor(
        public val address: String,
    ) : StallReport

    /** The engine is alive and waits for no other engine. */
    public data object Alive : StallReport

    /** The engine did not answer. */
    public data object NoAnswer : StallReport

    /** The engine was not asked, since it wants no calls for a time. */
    public data object NotAsked : StallReport
}

/** Control calls to engines, in the platform's protocol; results are delivered on the event loop. */
public interface EngineCalls {
    /** Orders an engine to load layers, provided that it has accepted exactly [acceptedOrders] orders before. */
    public fun place(
        order: LayerOrder,
        acceptedOrders: Long,
        fence: Long,
        result: (PlaceResult) -> Unit,
    )

    /** Reads how many orders an engine's process has accepted; null when the engine does not report it. */
    public fun acceptedOrders(
        endpoint: RelayEndpoint,
        result: (Long?) -> Unit,
    )

    /**
     * Reads the pace of an engine: the time that a step takes, as a multiple of its usual time.
     *
     * The result is null when the engine does not report it.
     */
    public fun pace(
        endpoint: RelayEndpoint,
        result: (Double?) -> Unit,
    )

    /** Asks the first endpoint of a path which endpoint [requestId] is waiting for. */
    public fun stalledAt(
        first: RelayEndpoint,
        requestId: String,
        result: (StallReport) -> Unit,
    )
}

/** Objects that instances share through the platform's store; results are delivered on the event loop. */
public interface SharedObjects {
    /**
     * Reads one object; the result is [WriteEvent.ReadBack] or [WriteEvent.Unavailable].
     *
     * With [mayBeStale] the object may be seconds old; such a read costs less.
     */
    public fun read(
        key: ObjectKey,
        mayBeStale: Boolean,
        result: (WriteEvent) -> Unit,
    )

    /** Writes one object under the condition of [action]. */
    public fun write(
        action: WriteAction.Write,
        result: (WriteEvent) -> Unit,
    )
}
