package oriolespindle.core.config

import kotlinx.serialization.Serializable

/** Names a kind of objects in the platform's store; a kind that this version does not know is carried unread. */
@Serializable
@JvmInline
public value class ObjectKind(
    public val code: String,
) : Comparable<ObjectKind> {
    override fun compareTo(other: ObjectKind): Int = code.compareTo(other.code)

    override fun toString(): String = code

    public companion object {
        public val CONTRACT: ObjectKind = ObjectKind("contract")
        public val MODEL: ObjectKind = ObjectKind("model")
        public val ENDPOINT: ObjectKind = ObjectKind("endpoint")
        public val SERVICE: ObjectKind = ObjectKind("service")
        public val DRAIN: ObjectKind = ObjectKind("drain")
        public val ORDER: ObjectKind = ObjectKind("order")
        public val LEASE: ObjectKind = ObjectKind("lease")
        public val CLAIM: ObjectKind = ObjectKind("claim")
        public val ALLOTMENT: ObjectKind = ObjectKind("allotment")
        public val INSTANCE: ObjectKind = ObjectKind("instance")
        public val OPERATOR: ObjectKind = ObjectKind("operator")

        /** The kinds that every instance keeps; claims, leases and instances are read when they are needed. */
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
