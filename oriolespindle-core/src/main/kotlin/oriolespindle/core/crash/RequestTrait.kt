package oriolespindle.core.crash

import kotlinx.serialization.Serializable
import oriolespindle.core.id.ServiceId

/** Something that several requests may have in common: a part of their prompts, or their whole content. */
@Serializable
@JvmInline
public value class RequestTrait(
    public val value: String,
) : Comparable<RequestTrait> {
    /** Whether this is the whole content of a request rather than a part of its prompt. */
    public val isContent: Boolean get() = value.startsWith(CONTENT_PREFIX)

    override fun compareTo(other: RequestTrait): Int = value.compareTo(other.value)

    override fun toString(): String = value

    public companion object {
        private const val CONTENT_PREFIX = "content/"

        /** Returns the trait of requests to [service] whose prompts contain the part [id]. */
        public fun ofPart(
            service: ServiceId,
            id: String,
        ): RequestTrait = RequestTrait("part/$service/$id")

        /** Returns the trait of requests with the content that has [fingerprint]. */
        public fun ofContent(fingerprint: Fingerprint): RequestTrait = RequestTrait("$CONTENT_PREFIX$fingerprint")
    }
}
