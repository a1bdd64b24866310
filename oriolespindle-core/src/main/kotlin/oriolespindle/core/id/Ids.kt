package oriolespindle.core.id

import kotlinx.serialization.Serializable

/** Identifies a customer team; each team has one contract object. */
@Serializable
@JvmInline
public value class TeamId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a router process; a restarted process has a new identifier. */
@Serializable
@JvmInline
public value class InstanceId(
    public val value: String,
) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies an availability zone. */
@Serializable
@JvmInline
public value class ZoneId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a server that runs layers of a model or a plain service. */
@Serializable
@JvmInline
public value class EndpointId(
    public val value: String,
) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a language model that is served by chains of endpoints. */
@Serializable
@JvmInline
public value class ModelId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a plain service. */
@Serializable
@JvmInline
public value class ServiceId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a caller request; unique across all instances. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** The number of an attempt within its request, starting at 1. */
@Serializable
@JvmInline
public value class AttemptNumber(
    public val value: Int,
) {
    /** Returns the number of the next attempt. */
    public fun next(): AttemptNumber = AttemptNumber(value + 1)

    public companion object {
        /** The first attempt of a request. */
        public val FIRST: AttemptNumber = AttemptNumber(1)
    }
}
