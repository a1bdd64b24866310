package oriolespindle.testkit.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import oriolespindle.testkit.AnswerLoss

/** A fault of the fake platform; the body of `POST /_control` with the fault's name in the field `type`. */
@Serializable
public sealed interface PlatformFault {
    /** Ends every fault. */
    @Serializable
    @SerialName("healthy")
    public data object Healthy : PlatformFault

    /** Every call is answered with 503. */
    @Serializable
    @SerialName("unavailable")
    public data object Unavailable : PlatformFault

    /** Open connections are reset and new ones are refused; only the control address still answers. */
    @Serializable
    @SerialName("refuse")
    public data object Refuse : PlatformFault

    /** Every answer and every watch line is delayed; a change takes effect before the delay. */
    @Serializable
    @SerialName("slow")
    public data class Slow(
        public val millis: Long,
    ) : PlatformFault

    /** Writes take effect, and the connection is closed in place of an answer. */
    @Serializable
    @SerialName("lose_answers")
    public data class LoseAnswers(
        public val loss: AnswerLoss,
    ) : PlatformFault

    /** The instance list is the one of [millis] ago. */
    @Serializable
    @SerialName("lag_instances")
    public data class LagInstances(
        public val millis: Long,
    ) : PlatformFault

    /** Calls are accepted and never answered or applied; watches send nothing, and their lines are lost. */
    @Serializable
    @SerialName("hang")
    public data object Hang : PlatformFault

    /** Connections that are open now behave as in [Hang] for good, whatever follows; new ones work. */
    @Serializable
    @SerialName("hang_open")
    public data object HangOpen : PlatformFault
}
