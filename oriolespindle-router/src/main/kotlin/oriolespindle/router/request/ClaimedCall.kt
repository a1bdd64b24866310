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

/** Performs the actions of one [ClaimCall]: writes the claim to the platform, calls an endpoint and answers. */
internal class ClaimedCall(
    private val context: RequestContext,
    private val sender: ServiceSender,
    private val stateMachine: ClaimCall,
    private val call: ServiceCall,
    private val workId: RequestId,
    private val deadline: Timestamp,
    private val servers: () -> List<ServiceEndpoint>,
    private val answer: (ClaimOutcome) -> Unit,
    private val onFinished: () -> Unit,
) {
    private var isWorkFinished = false

    /** The version of this call's last confirmed write of the claim, or null before the first one. */
    var heldVersion: ClaimVersion? = null
        private set

    /** Starts the call; shutdown waits until its outcome is stored, which may be after the caller got its answer. */
    fun start() {
        context.onWorkStarted(workId)
        handle(ClaimEvent.Start)
        context.continueAfter(deadline - context.now()) { handle(ClaimEvent.DeadlinePassed) }
    }

    fun handle(event: ClaimEvent) {
        stateMachine.handle(context.now(), event).forEach(::perform)
        if (stateMachine.isFinished && !isWorkFinished) {
            isWorkFinished = true
            context.onWorkFinished(workId)
            onFinished()
        }
    }

    private fun perform(action: ClaimAction) {
        when (action) {
            is ClaimAction.WriteClaim -> write(action.target.name, action.value, action.expected)
            is ClaimAction.ReadClaim -> runAfter(action.after) { read(action.target.name) }
            is ClaimAction.StoreOutcome -> runAfter(action.after) { store(action) }
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
                writeApplied(ClaimVersion(result.value.version))
            }

            // Without the current object the holder of the claim is unknown, so the claim is read back.
            is PlatformResult.Conflict -> {
                result.current?.let { ClaimEvent.WriteConflict(storedClaim(it)) }
                    ?: ClaimEvent.WriteUnconfirmed
            }

            is PlatformResult.NotFound -> {
                ClaimEvent.WriteUnconfirmed
            }

            is PlatformResult.Unavailable -> {
                if (result.mayBeApplied) ClaimEvent.WriteUnconfirmed else ClaimEvent.WriteNotApplied
            }
        }

    private fun writeApplied(version: ClaimVersion): ClaimEvent {
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
            is PlatformResult.Ok -> ClaimEvent.ReadBack(storedClaim(result.value))
            is PlatformResult.NotFound -> ClaimEvent.ReadBack(null)
            is PlatformResult.Conflict, is PlatformResult.Unavailable -> ClaimEvent.ReadUnavailable
        }

    private fun storedClaim(item: PlatformObject): StoredClaim =
        StoredClaim(ClaimVersion(item.version), ClaimRecord.parseOrNull(item.value.toString()))

    /** Tries endpoints in turn; the next one only if no byte was sent to the previous ones. */
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

    private fun runAfter(
        after: Duration,
        block: () -> Unit,
    ) {
        if (after > Duration.ZERO) context.continueAfter(after, block) else block()
    }
}
