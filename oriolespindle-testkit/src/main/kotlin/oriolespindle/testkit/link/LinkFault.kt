package oriolespindle.testkit.link

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A fault of the fake link; the body of `POST /_control` with the fault's name in the field `type`. */
@Serializable
public sealed interface LinkFault {
    /** Ends every fault; a connection that was silenced stays silent. */
    @Serializable
    @SerialName("healthy")
    public data object Healthy : LinkFault

    /** Open connections are reset, and new ones are reset when they arrive. */
    @Serializable
    @SerialName("cut")
    public data object Cut : LinkFault

    /** Open connections are reset once; new ones work. */
    @Serializable
    @SerialName("reset_open")
    public data object ResetOpen : LinkFault

    /** Bytes of open connections are swallowed and the connections stay open; new ones too, unless [openOnly]. */
    @Serializable
    @SerialName("silence")
    public data class Silence(
        public val openOnly: Boolean = false,
    ) : LinkFault

    /** Bytes of open and new connections are swallowed in one direction: to the target, or back from it. */
    @Serializable
    @SerialName("one_way")
    public data class OneWay(
        public val toTarget: Boolean,
    ) : LinkFault

    /** Bytes arrive [millis] later in each direction. */
    @Serializable
    @SerialName("slow")
    public data class Slow(
        public val millis: Long,
    ) : LinkFault
}
