package oriolespindle.core.order

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** The lease under which orders are sent; see [oriolespindle.core.lease.LeaseAction.Held]. */
public data class OrderLease(
    public val fence: Long,
    public val quietFrom: Timestamp,
    public val validUntil: Timestamp,
)

/** Something that the order machine learns. */
public sealed interface OrderEvent {
    /** The time of [OrderMachine.nextTimer], or any later time, has come. */
    public data object Tick : OrderEvent

    /** The lease was acquired, renewed, or lost when [lease] is null. */
    public data class LeaseChanged(
        public val lease: OrderLease?,
    ) : OrderEvent

    /** All endpoints that take orders or hold layers. */
    public data class Endpoints(
        public val endpoints: List<OrderedEndpoint>,
    ) : OrderEvent

    /** Whether [endpoint] serves requests. */
    public data class Availability(
        public val endpoint: EndpointId,
        public val serving: Boolean,
    ) : OrderEvent

    /** All operators' orders as they are in force. */
    public data class Desired(
        public val orders: List<OperatorOrder>,
    ) : OrderEvent

    /** The answer to [OrderAction.ReadState]; null when it could not be read. */
    public data class StateRead(
        public val endpoint: EndpointId,
        public val state: EndpointState?,
    ) : OrderEvent

    /** The answer to [OrderAction.Send]. */
    public data class Answered(
        public val endpoint: EndpointId,
        public val answer: OrderAnswer,
    ) : OrderEvent
}

/** What became of an order that was sent. */
public sealed interface OrderAnswer {
    /** The engine began the order; its effect is still to be read back. */
    public data object Accepted : OrderAnswer

    /** The engine has seen the newer token [fence]; another instance holds the lease. */
    public data class StaleFence(
        public val fence: Long,
    ) : OrderAnswer

    /** The order was not sent, because its time to send had passed or no connection could be opened. */
    public data object NotSent : OrderAnswer

    /** The engine refused the order, or it is not known whether it took it. */
    public data object Unconfirmed : OrderAnswer
}

/** What the order machine asks its caller to do. */
public sealed interface OrderAction {
    /**
     * Send [order] with [fence] and [expiresIn] to its endpoint.
     *
     * The sender reads the clock immediately before it writes the bytes and sends nothing after [notAfter].
     */
    public data class Send(
        public val order: OperatorOrder,
        public val fence: Long,
        public val expiresIn: Duration,
        public val notAfter: Timestamp,
    ) : OrderAction

    /** Read the state of [endpoint] and deliver [OrderEvent.StateRead]. */
    public data class ReadState(
        public val endpoint: EndpointId,
    ) : OrderAction

    /** The progress of [order] changed. */
    public data class Report(
        public val order: OperatorOrder,
        public val progress: OrderProgress,
    ) : OrderAction
}

/** How far an order is. */
public enum class OrderProgress {
    /** Sent to the endpoint, which has not confirmed its effect. */
    SENT,

    /** The endpoint's state shows the effect. */
    DONE,

    /** A newer order for the same part of the endpoint holds. */
    SUPERSEDED,

    /** It would leave a layer without an endpoint that holds it. */
    WAITING_FOR_COVERAGE,

    /** The weight store is busy with earlier loads. */
    WAITING_FOR_STORE,
}
