package oriolespindle.core.id

import kotlinx.serialization.Serializable

/** Names a customer team; one contract object exists for each. */
@Serializable
@JvmInline
public value class TeamId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Names one process of the router for as long as it runs; a restarted process has a new one. */
@Serializable
@JvmInline
public value class InstanceId(
    public val value: String,
) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names an availability zone. */
@Serializable
@JvmInline
public value class ZoneId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Names a server that runs layers of a model or a plain service. */
@Serializable
@JvmInline
public value class EndpointId(
    public val value: String,
) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names a language model that is served by chains of endpoints. */
@Serializable
@JvmInline
public value class ModelId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Names a plain service. */
@Serializable
@JvmInline
public value class ServiceId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Names one caller request, unique over all instances. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Counts the attempts of one request, from 1. */
@Serializable
@JvmInline
public value class AttemptNumber(
    public val value: Int,
) {
    /** Returns the number of the attempt after this one. */
    public fun next(): AttemptNumber = AttemptNumber(value + 1)

    public companion object {
        /** The first attempt of a request. */
        public val FIRST: AttemptNumber = AttemptNumber(1)
    }
}
