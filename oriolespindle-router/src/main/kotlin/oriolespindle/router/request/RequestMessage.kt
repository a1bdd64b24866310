package oriolespindle.router.request

import oriolespindle.core.config.StoredObject
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.RequestId
import oriolespindle.router.endpoint.EngineSignal
import oriolespindle.router.endpoint.LoadAnswer
import oriolespindle.router.http.ServerExchange
import oriolespindle.router.platform.PlatformInstanceList

/** What the request component handles. */
internal sealed interface RequestMessage {
    /** A request of a caller has arrived whole. */
    class Arrived(
        val exchange: ServerExchange,
    ) : RequestMessage

    /** The caller's connection closed before its answer was complete. */
    data class CallerGone(
        val request: RequestId,
    ) : RequestMessage

    /** An engine answered, or failed to answer, one attempt. */
    data class Engine(
        val request: RequestId,
        val attempt: AttemptNumber,
        val signal: EngineSignal,
    ) : RequestMessage

    /** Something outside finished for a service call; [resume] continues it on this component's thread. */
    class Continue(
        val resume: () -> Unit,
    ) : RequestMessage

    /** An endpoint answered a load request, or failed to when [answer] is null. */
    data class Load(
        val endpoint: EndpointId,
        val answer: LoadAnswer?,
    ) : RequestMessage

    /** The platform's list of instances and endpoints was read. */
    data class Listed(
        val list: PlatformInstanceList,
    ) : RequestMessage

    /** Stored objects changed. */
    data class Changed(
        val items: List<StoredObject>,
    ) : RequestMessage

    data object Tick : RequestMessage
}
