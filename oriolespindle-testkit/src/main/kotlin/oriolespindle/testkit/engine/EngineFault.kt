package oriolespindle.testkit.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A fault of the fake engine; the body of `POST /_control` with the fault's name in the field `type`. */
@Serializable
public sealed interface EngineFault {
    /** Ends every fault; a stream that was frozen stays silent. */
    @Serializable
    @SerialName("healthy")
    public data object Healthy : EngineFault

    /** The process ends with exit code 1 when it starts to run a prompt that contains [text]. */
    @Serializable
    @SerialName("crash_on_prompt")
    public data class CrashOnPrompt(
        public val text: String,
    ) : EngineFault

    /** Streams stop producing for good and keep their connections; new ones too, unless [openStreamsOnly]. */
    @Serializable
    @SerialName("freeze")
    public data class Freeze(
        public val openStreamsOnly: Boolean = false,
    ) : EngineFault

    /** Work in progress goes on, and new work is refused as `draining`. */
    @Serializable
    @SerialName("draining")
    public data object Draining : EngineFault

    /** New work is refused as `busy`. */
    @Serializable
    @SerialName("busy")
    public data object Busy : EngineFault

    /** A stream's connection is closed once it has sent [afterLines] lines; this happens to at most [streams]. */
    @Serializable
    @SerialName("truncate")
    public data class Truncate(
        public val afterLines: Int,
        public val streams: Int = Int.MAX_VALUE,
    ) : EngineFault

    /** Every [every]th line of a stream is sent twice. */
    @Serializable
    @SerialName("duplicate")
    public data class Duplicate(
        public val every: Int = 1,
    ) : EngineFault

    /** Every [every]th line of a stream changes places with the next one. */
    @Serializable
    @SerialName("reorder")
    public data class Reorder(
        public val every: Int = 2,
    ) : EngineFault

    /** Every [every]th line is preceded by one of another request, or replaced by it when [replace]. */
    @Serializable
    @SerialName("foreign_lines")
    public data class ForeignLines(
        public val every: Int = 1,
        public val replace: Boolean = false,
    ) : EngineFault

    /** Lines from the next stage arrive [millis] later. */
    @Serializable
    @SerialName("slow_link")
    public data class SlowLink(
        public val millis: Long,
    ) : EngineFault

    /** Orders are applied, or found expired, [millis] after they arrive. */
    @Serializable
    @SerialName("slow_orders")
    public data class SlowOrders(
        public val millis: Long,
    ) : EngineFault
}
