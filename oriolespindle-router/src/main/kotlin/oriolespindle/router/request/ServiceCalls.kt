package oriolespindle.router.request

import oriolespindle.core.claim.ClaimCall
import oriolespindle.core.claim.ClaimEvent
import oriolespindle.core.claim.ClaimObject
import oriolespindle.core.claim.ClaimOutcome
import oriolespindle.core.claim.ClaimPruner
import oriolespindle.core.claim.ClaimRequest
import oriolespindle.core.claim.IdempotencyKey
import oriolespindle.core.claim.KeyDecision
import oriolespindle.core.claim.KeyRules
import oriolespindle.core.claim.PrunableClaim
import oriolespindle.core.claim.RequestDigest
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.contract.Contract
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.retry.RetryPolicy
import oriolespindle.router.http.HttpAnswer
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** Handles calls to plain services: non-idempotent calls with a key under a claim, others directly. */
internal class ServiceCalls(
    private val context: RequestContext,
    private val sender: ServiceSender,
    private val retries: RetryPolicy,
    private val admission: Admission,
    private val isLive: (InstanceId) -> Boolean,
) {
    private val claimedCalls = HashSet<ClaimedCall>()
    private val directCalls = HashSet<DirectCall>()
    private val pruner = ClaimPruner(KeyRules())

    /** Informs the claimed calls that this process was paused, so that none sends under a claim from before. */
    fun onWokeFromPause() {
        claimedCalls.toList().forEach { it.handle(ClaimEvent.WokeFromPause) }
    }

    /** Ends the calls in progress, because this instance is about to end. */
    fun endRequests() {
        claimedCalls.toList().forEach { it.handle(ClaimEvent.InstanceEnding) }
        directCalls.toList().forEach { it.onInstanceEnding() }
    }

    fun handle(request: CallerRequest) {
        val rest = request.exchange.uri.removePrefix("/services/")
        val name = rest.substringBefore('?').substringBefore('/')
        val uri = rest.removePrefix(name).ifEmpty { "/" }
        val service = ServiceId(name)
        val value = context.directory.service(service)
        when {
            service !in request.contract.services -> {
                refuse(request, RefusalReason.SERVICE_NOT_ALLOWED, "the contract does not allow service '$name'")
            }

            value == null -> {
                refuse(request, RefusalReason.UNKNOWN_SERVICE, "service '$name' does not exist")
            }

            else -> {
                admit(request, service, uri, request.exchange.method in value.nonIdempotentMethods)
            }
        }
    }

    private fun admit(
        request: CallerRequest,
        service: ServiceId,
        uri: String,
        isNonIdempotent: Boolean,
    ) {
        admission.admit(
            caller = request,
            cost = TokenCost.NONE,
            onAdmitted = { permit ->
                request.exchange.whenAnswered {
                    context.continueWith { admission.settle(permit, TokenCost.NONE) }
                }
                // A call may have been held since before the shutdown.
                val refusal = context.refusalBeforeEnd(request.id, request.deadline)
                when {
                    request.exchange.isEnded -> Unit
                    refusal != null -> respondNotRun(request, refusal)
                    isNonIdempotent -> handleNonIdempotent(request, service, uri)
                    else -> sendDirectly(request, service, uri, isIdempotent = true)
                }
            },
            onRefused = { outcome -> respondNotRun(request, outcome) },
        )
    }

    private fun handleNonIdempotent(
        request: CallerRequest,
        service: ServiceId,
        uri: String,
    ) {
        val arrived = Clock.System.now()
        when (val decision = keyRules(request.contract).check(request.exchange.header("Idempotency-Key"), arrived)) {
            is KeyDecision.Refused -> {
                respondNotRun(request, decision.outcome)
            }

            is KeyDecision.SendOnce -> {
                sendDirectly(request, service, uri, isIdempotent = false)
            }

            is KeyDecision.Claim -> {
                claim(request, service, uri, claimRequest(request, decision.key, service, uri, arrived))
            }
        }
    }

    private fun claimRequest(
        request: CallerRequest,
        key: IdempotencyKey,
        service: ServiceId,
        uri: String,
        arrived: Instant,
    ): ClaimRequest =
        ClaimRequest(
            request = request.id,
            key = key,
            target = ClaimObject.of(request.contract.team, key),
            digest = RequestDigest.of(service.value, request.exchange.method, uri, request.exchange.body),
            arrived = arrived,
            deadline = request.deadline,
        )

    private fun claim(
        request: CallerRequest,
        service: ServiceId,
        uri: String,
        claim: ClaimRequest,
    ) {
        lateinit var call: ClaimedCall
        call =
            ClaimedCall(
                context = context,
                sender = sender,
                stateMachine = ClaimCall(context.instance, claim, isLive = isLive),
                call = ServiceCall.of(request, uri),
                workId = request.id,
                deadline = request.deadline,
                servers = { context.directory.servers(service) },
                answer = { outcome -> respond(request, outcome) },
                onFinished = { onClaimFinished(call, claim) },
            )
        claimedCalls += call
        call.start()
    }

    private fun onClaimFinished(
        call: ClaimedCall,
        claim: ClaimRequest,
    ) {
        claimedCalls.remove(call)
        call.heldVersion?.let { pruner.add(claim.key, PrunableClaim(claim.target, it)) }
    }

    /** Deletes claims whose keys every instance refuses by now; a failed deletion leaves a harmless object. */
    fun prune() {
        for (claim in pruner.due(Clock.System.now())) {
            context.platform.delete(ObjectKind.CLAIM.code, claim.target.name, claim.version.value) { }
        }
    }

    /** Sends an idempotent call, or one that the contract allows to be sent once without a key. */
    private fun sendDirectly(
        request: CallerRequest,
        service: ServiceId,
        uri: String,
        isIdempotent: Boolean,
    ) {
        lateinit var call: DirectCall
        call =
            DirectCall(
                context = context,
                sender = sender,
                retries = retries,
                caller = request,
                service = service,
                call = ServiceCall.of(request, uri),
                isIdempotent = isIdempotent,
                onFinished = { result ->
                    directCalls.remove(call)
                    onDirectCallFinished(request, result)
                },
            )
        directCalls += call
        call.start()
    }

    private fun onDirectCallFinished(
        request: CallerRequest,
        result: DirectCallResult,
    ) {
        when (result) {
            is DirectCallResult.Answered -> respondAnswered(request, result.answer)
            is DirectCallResult.Failed -> respondFailure(request, result.outcome)
        }
    }

    private fun respondFailure(
        request: CallerRequest,
        outcome: CallOutcome,
    ) {
        when (outcome) {
            is CallOutcome.NotRun -> respondNotRun(request, outcome)
            is CallOutcome.Unknown -> respondUnknown(request, outcome)
            is CallOutcome.Done -> error("a successful call has no failure")
        }
    }

    private fun respond(
        request: CallerRequest,
        outcome: ClaimOutcome,
    ) {
        when (outcome) {
            is ClaimOutcome.Answered -> {
                val repeated = if (outcome.repeated) listOf("Oriolespindle-Repeated" to "true") else emptyList()
                respondDone(request, outcome.status, outcome.body ?: ByteArray(0), outcome.contentType, repeated)
            }

            is ClaimOutcome.NotRun -> {
                respondNotRun(request, outcome.outcome)
            }

            is ClaimOutcome.Unknown -> {
                respondUnknown(request, outcome.outcome, outcome.retryAfter)
            }
        }
    }

    private fun respondAnswered(
        request: CallerRequest,
        result: ServiceResult.Answered,
    ) = respondDone(request, result.status, result.body, result.contentType, emptyList())

    private fun respondDone(
        request: CallerRequest,
        status: Int,
        body: ByteArray,
        contentType: String?,
        extra: List<Pair<String, String>>,
    ) {
        context.countDone(request.contract.team)
        val headers = Answers.headers(request.id, "done") + extra
        request.exchange.respond(HttpAnswer(status, body, contentType ?: "application/octet-stream", headers))
    }

    private fun respondUnknown(
        request: CallerRequest,
        outcome: CallOutcome.Unknown,
        retryAfter: Duration? = null,
    ) {
        context.metrics.unknown(outcome.reason)
        request.exchange.respond(Answers.unknown(request.id, outcome, retryAfter))
    }

    private fun refuse(
        request: CallerRequest,
        reason: RefusalReason,
        message: String,
    ) {
        respondNotRun(request, CallOutcome.NotRun(reason, message))
    }

    private fun respondNotRun(
        request: CallerRequest,
        outcome: CallOutcome.NotRun,
    ) {
        context.countRefusal(request.contract.team, outcome.reason)
        request.exchange.respond(Answers.notRun(request.id, outcome))
    }

    private fun keyRules(contract: Contract): KeyRules =
        KeyRules(
            allowKeysWithoutTime = !contract.uuidV7KeysRequired,
            allowCallsWithoutKey = contract.unkeyedCallsAllowed,
        )
}
