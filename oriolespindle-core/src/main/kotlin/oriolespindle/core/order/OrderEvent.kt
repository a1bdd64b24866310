package oriolespindle.core.order

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** The lease that allows this instance to send orders; see [oriolespindle.core.lease.LeaseAction.Held]. */
public data class OrderLease(
    public val fence: Long,
    public val quietFrom: Timestamp,
    public val validUntil: Timestamp,
)

/** An input of [OrderMachine]. */
public sealed interface OrderEvent {
    /** The time returned by [OrderMachine.nextTimer] has been reached; a later tick is allowed. */
    public data object Tick : OrderEvent

    /** The lease was acquired or renewed; it was lost if [lease] is null. */
    public data class LeaseChanged(
        public val lease: OrderLease?,
    ) : OrderEvent

    /** The complete list of endpoints that accept orders or hold layers. */
    public data class Endpoints(
        public val endpoints: List<OrderedEndpoint>,
    ) : OrderEvent

    /** Reports whether [endpoint] serves requests. */
    public data class Availability(
        public val endpoint: EndpointId,
        public val serving: Boolean,
    ) : OrderEvent

    /** The complete list of orders that are in force. */
    public data class Desired(
        public val orders: List<OperatorOrder>,
    ) : OrderEvent

    /** The result of [OrderAction.ReadState]; [state] is null if the state could not be read. */
    public data class StateRead(
        public val endpoint: EndpointId,
        public val state: EndpointState?,
    ) : OrderEvent

    /** The result of [OrderAction.Send]. */
    public data class Answered(
        public val endpoint: EndpointId,
        public val answer: OrderAnswer,
    ) : OrderEvent
}

/** The result of sending an order. */
public sealed interface OrderAnswer {
    /** The engine began the order; its effect has yet to be confirmed by a read of its state. */
    public data object Accepted : OrderAnswer

    /** The engine has seen the newer fencing token [fence]; another instance holds the lease. */
    public data class StaleFence(
        public val fence: Long,
    ) : OrderAnswer

    /** The order was not sent, because its send timeout had expired or no connection could be opened. */
    public data object NotSent : OrderAnswer

    /** The engine refused the order, or it is unknown whether the engine accepted it. */
    public data object Unconfirmed : OrderAnswer
}

/** An output of [OrderMachine] that its caller performs. */
public sealed interface OrderAction {
    /**
     * Send [order] to its endpoint with the fencing token [fence] and the time to live [expiresIn].
     *
     * The sender checks the clock immediately before it writes to the connection and sends nothing after [notAfter].
     */
    public data class Send(
        public val order: OperatorOrder,
        public val fence: Long,
        public val expiresIn: Duration,
        public val notAfter: Timestamp,
    ) : OrderAction

    /** Read the state of [endpoint] and pass the result in as [OrderEvent.StateRead]. */
    public data class ReadState(
        public val endpoint: EndpointId,
    ) : OrderAction

    /** The progress of [order] changed. */
    public data class Report(
        public val order: OperatorOrder,
        public val progress: OrderProgress,
    ) : OrderAction
}

/** The progress of an order. */
public enum class OrderProgress {
    /** Sent to the endpoint; its effect is not confirmed yet. */
    SENT,

    /** The endpoint's state shows the effect. */
    DONE,

    /** A newer order for the same part of the endpoint is in force. */
    SUPERSEDED,

    /** Delayed, because no other endpoint would hold one of the layers. */
    WAITING_FOR_COVERAGE,

    /** Delayed, because the weight store is busy with earlier loads. */
    WAITING_FOR_STORE,
}
