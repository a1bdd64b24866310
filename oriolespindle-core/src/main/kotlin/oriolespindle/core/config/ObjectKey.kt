package oriolespindle.core.config

import kotlinx.serialization.Serializable

/** A kind of object in the platform's store; objects of a kind unknown to this version are passed on unread. */
@Serializable
@JvmInline
public value class ObjectKind(
    public val code: String,
) : Comparable<ObjectKind> {
    override fun compareTo(other: ObjectKind): Int = code.compareTo(other.code)

    override fun toString(): String = code

    public companion object {
        /** The contract of a team. */
        public val CONTRACT: ObjectKind = ObjectKind("contract")

        /** A language model. */
        public val MODEL: ObjectKind = ObjectKind("model")

        /** A server that runs layers of a model or a plain service. */
        public val ENDPOINT: ObjectKind = ObjectKind("endpoint")

        /** A plain service. */
        public val SERVICE: ObjectKind = ObjectKind("service")

        /** An operator's request to send an endpoint no new work. */
        public val DRAIN: ObjectKind = ObjectKind("drain")

        /** An operator's order to an endpoint. */
        public val ORDER: ObjectKind = ObjectKind("order")

        /** The lease under which one instance acts for the whole fleet. */
        public val LEASE: ObjectKind = ObjectKind("lease")

        /** The record of a call that may run at most once. */
        public val CLAIM: ObjectKind = ObjectKind("claim")

        /** The initial distribution of limits among instances. */
        public val ALLOTMENT: ObjectKind = ObjectKind("allotment")

        /** A router instance. */
        public val INSTANCE: ObjectKind = ObjectKind("instance")

        /** An operator's credentials. */
        public val OPERATOR: ObjectKind = ObjectKind("operator")

        /** The kinds that every instance caches; claims, leases and instances are read on demand. */
        public val CACHED: Set<ObjectKind> =
            setOf(CONTRACT, MODEL, ENDPOINT, SERVICE, DRAIN, ORDER, ALLOTMENT, OPERATOR)
    }
}

/** The identity of an object in the platform's store. */
@Serializable
public data class ObjectKey(
    public val kind: ObjectKind,
    public val name: String,
) {
    override fun toString(): String = "$kind/$name"
}
