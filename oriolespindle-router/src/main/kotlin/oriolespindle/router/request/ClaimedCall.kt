package oriolespindle.router.request

import kotlinx.serialization.json.Json
import oriolespindle.core.claim.ClaimAction
import oriolespindle.core.claim.ClaimCall
import oriolespindle.core.claim.ClaimEvent
import oriolespindle.core.claim.ClaimOutcome
import oriolespindle.core.claim.ClaimRecord
import oriolespindle.core.claim.ClaimVersion
import oriolespindle.core.claim.StoredClaim
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.id.RequestId
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import oriolespindle.router.directory.ServiceEndpoint
import oriolespindle.router.platform.PlatformObject
import oriolespindle.router.platform.PlatformResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Carries out the actions of one [ClaimCall]: the claim in the platform, the call at an endpoint, the answer. */
internal class ClaimedCall(
    private val context: RequestContext,
    private val sender: ServiceSender,
    private val machine: ClaimCall,
    private val call: ServiceCall,
    private val work: RequestId,
    private val deadline: Timestamp,
    private val servers: () -> List<ServiceEndpoint>,
    private val answer: (ClaimOutcome) -> Unit,
    private val onFinished: () -> Unit,
) {
    private var workEnded = false

    /** The last version of the claim that this call wrote, null while it has written none. */
    var heldVersion: ClaimVersion? = null
        private set

    /** Starts the call; the instance stays until the outcome is stored, which may be after the caller's answer. */
    fun start() {
        context.workStarted(work)
        handle(ClaimEvent.Start)
        context.continueAfter(deadline - context.now()) { handle(ClaimEvent.DeadlinePassed) }
    }

    fun handle(event: ClaimEvent) {
        machine.handle(context.now(), event).forEach(::perform)
        if (machine.isFinished && !workEnded) {
            workEnded = true
            context.workFinished(work)
            onFinished()
        }
    }

    private fun perform(action: ClaimAction) {
        when (action) {
            is ClaimAction.WriteClaim -> write(action.target.name, action.value, action.expected)
            is ClaimAction.ReadClaim -> delayed(action.after) { read(action.target.name) }
            is ClaimAction.StoreOutcome -> delayed(action.after) { store(action) }
            is ClaimAction.Send -> send(action.notAfter, emptySet())
            is ClaimAction.Answer -> answer(action.outcome)
        }
    }

    private fun store(action: ClaimAction.StoreOutcome) {
        write(action.target.name, action.value, action.expected)
    }

    private fun write(
        name: String,
        record: ClaimRecord,
        expected: ClaimVersion?,
    ) {
        val value = Json.parseToJsonElement(record.encode())
        context.platform.put(ObjectKind.CLAIM.code, name, value, expected?.value) { result ->
            context.continueWith { handle(writeEvent(result)) }
        }
    }

    private fun writeEvent(result: PlatformResult<PlatformObject>): ClaimEvent =
        when (result) {
            is PlatformResult.Ok -> {
                landed(ClaimVersion(result.value.version))
            }

            // A conflict without the object tells nothing about its holder, which reading back does.
            is PlatformResult.Conflict -> {
                result.current?.let { ClaimEvent.WriteConflict(stored(it)) }
                    ?: ClaimEvent.WriteUnconfirmed
            }

            is PlatformResult.NotFound -> {
                ClaimEvent.WriteUnconfirmed
            }

            is PlatformResult.Unavailable -> {
                if (result.mayBeApplied) ClaimEvent.WriteUnconfirmed else ClaimEvent.WriteNotApplied
            }
        }

    private fun landed(version: ClaimVersion): ClaimEvent {
        heldVersion = version
        return ClaimEvent.WriteApplied(version)
    }

    private fun read(name: String) {
        context.platform.get(ObjectKind.CLAIM.code, name) { result ->
            context.continueWith { handle(readEvent(result)) }
        }
    }

    private fun readEvent(result: PlatformResult<PlatformObject>): ClaimEvent =
        when (result) {
            is PlatformResult.Ok -> ClaimEvent.ReadBack(stored(result.value))
            is PlatformResult.NotFound -> ClaimEvent.ReadBack(null)
            is PlatformResult.Conflict, is PlatformResult.Unavailable -> ClaimEvent.ReadUnavailable
        }

    private fun stored(item: PlatformObject): StoredClaim =
        StoredClaim(ClaimVersion(item.version), ClaimRecord.parseOrNull(item.value.toString()))

    /** Tries endpoints one after the other for as long as each earlier one certainly received nothing. */
    private fun send(
        notAfter: Timestamp,
        tried: Set<ServiceEndpoint>,
    ) {
        val server = sender.candidates(servers()).firstOrNull { it !in tried }
        if (server == null || context.now() > notAfter) {
            handle(ClaimEvent.NotSent(RefusalReason.NO_ENDPOINT))
            return
        }
        val timeout = (deadline - context.now()).coerceAtLeast(Duration.ZERO)
        val limits = SendLimits(timeout, freshConnection = true, notAfter = notAfter)
        sender.send(call, server, limits) { result ->
            when (result) {
                is ServiceResult.NotSent -> send(notAfter, tried + server)
                is ServiceResult.NotRun -> handle(ClaimEvent.EndpointNotRun(result.retryAfterSeconds?.seconds))
                is ServiceResult.Lost -> handle(ClaimEvent.EndpointLost)
                is ServiceResult.Answered -> handle(answered(result))
            }
        }
    }

    private fun answered(result: ServiceResult.Answered): ClaimEvent =
        ClaimEvent.EndpointAnswered(result.status, result.body, result.contentType)

    private fun delayed(
        after: Duration,
        block: () -> Unit,
    ) {
        if (after > Duration.ZERO) context.continueAfter(after, block) else block()
    }
}
