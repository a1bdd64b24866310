package oriolespindle.router.request

import oriolespindle.core.config.StoredObject
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.RequestId
import oriolespindle.router.endpoint.EngineSignal
import oriolespindle.router.endpoint.LoadAnswer
import oriolespindle.router.http.ServerExchange
import oriolespindle.router.platform.PlatformInstanceList

/** A message to the request component. */
internal sealed interface RequestMessage {
    /** A complete request from a caller has arrived. */
    class Arrived(
        val exchange: ServerExchange,
    ) : RequestMessage

    /** The caller's connection closed before its response was complete. */
    data class CallerGone(
        val request: RequestId,
    ) : RequestMessage

    /** An engine sent part of its response to one attempt, or failed to. */
    data class Engine(
        val request: RequestId,
        val attempt: AttemptNumber,
        val signal: EngineSignal,
    ) : RequestMessage

    /** Runs [resume] on the component's thread, for example after an external operation has completed. */
    class Continue(
        val resume: () -> Unit,
    ) : RequestMessage

    /** A load poll of [endpoint] ended; [answer] is null if it failed. */
    data class Load(
        val endpoint: EndpointId,
        val answer: LoadAnswer?,
    ) : RequestMessage

    /** The platform's list of instances and endpoints has been read. */
    data class Listed(
        val list: PlatformInstanceList,
    ) : RequestMessage

    /** Objects in the store have changed. */
    data class Changed(
        val items: List<StoredObject>,
    ) : RequestMessage

    data object Tick : RequestMessage
}
