package oriolespindle.core.claim

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.RequestId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.outcome.UnknownReason
import oriolespindle.core.time.Timestamp
import kotlin.io.encoding.Base64
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * One request for a non-idempotent call; [arrived] is the wall-clock time of its arrival.
 *
 * [request] must be unique for each arrival, because it distinguishes the claim of this request from an earlier one.
 */
public data class ClaimRequest(
    public val request: RequestId,
    public val key: IdempotencyKey,
    public val target: ClaimObject,
    public val digest: RequestDigest,
    public val arrived: Instant,
    public val deadline: Timestamp,
)

/**
 * A state machine that runs a non-idempotent call at most once across all instances.
 *
 * The claim is stored in the platform before the first byte is sent. Only the request that holds the claim sends the
 * call, once, and only its state machine changes the claim afterwards, except that a conditional update may take over a
 * claim in state [ClaimState.NotRun]. A retry never sends the call for a claim in another state, even if the holder is
 * lost. A retry that finds the claim in progress polls it for [ClaimSettings.outcomeTimeout], because the holder's
 * caller receives its answer before the outcome is stored.
 *
 * [isLive] returns whether an instance may still finish its calls. It only determines which unknown outcome a retry
 * receives, so a wrong result cannot make a call run twice.
 */
public class ClaimCall(
    private val self: InstanceId,
    private val request: ClaimRequest,
    private val settings: ClaimSettings = ClaimSettings(),
    private val isLive: (InstanceId) -> Boolean = { true },
) {
    private enum class Phase { NEW, CLAIMING, READING, WAITING, SENT, STORING, FINISHED }

    private var phase = Phase.NEW
    private var answered = false
    private var paused = false
    private var hasUnconfirmedWrite = false
    private var failures = 0
    private var firstWrite = Timestamp.ZERO
    private var expectedVersion: ClaimVersion? = null
    private var heldVersion: ClaimVersion? = null
    private var storedState: ClaimState = ClaimState.Claimed

    /** When a retry stops waiting for the holder's outcome; null until it finds the claim in progress. */
    private var waitDeadline: Timestamp? = null
    private var polls = 0

    /** Whether the call has been answered and needs no further events. */
    public val isFinished: Boolean get() = phase == Phase.FINISHED

    /** Returns the actions to take on [event]; empty if the event is not relevant in the current phase. */
    public fun handle(
        now: Timestamp,
        event: ClaimEvent,
    ): List<ClaimAction> =
        when (event) {
            is ClaimEvent.Start -> start(now)
            is ClaimEvent.WriteApplied -> onWriteApplied(now, event.version)
            is ClaimEvent.WriteConflict -> onWriteConflict(now, event.current)
            is ClaimEvent.WriteUnconfirmed -> onWriteUnconfirmed()
            is ClaimEvent.WriteNotApplied -> onWriteNotApplied()
            is ClaimEvent.ReadBack -> onReadBack(now, event.current)
            is ClaimEvent.ReadUnavailable -> onReadUnavailable()
            is ClaimEvent.EndpointAnswered -> onEndpointAnswered(event)
            is ClaimEvent.EndpointNotRun -> onEndpointNotRun(event)
            is ClaimEvent.EndpointLost -> onEndpointLost()
            is ClaimEvent.NotSent -> if (phase == Phase.SENT) release(event.reason, NOT_SENT) else emptyList()
            is ClaimEvent.DeadlinePassed -> onDeadlinePassed()
            is ClaimEvent.WokeFromPause -> onWokeFromPause()
            is ClaimEvent.InstanceEnding -> onInstanceEnding()
        }

    private fun start(now: Timestamp): List<ClaimAction> {
        check(phase == Phase.NEW) { "request ${request.request} was started twice" }
        firstWrite = now
        if (now >= request.deadline) {
            phase = Phase.FINISHED
            return notRun(RefusalReason.DEADLINE_UNREACHABLE, TOO_LATE)
        }
        return writeClaim()
    }

    private fun writeClaim(): List<ClaimAction> {
        phase = Phase.CLAIMING
        return listOf(ClaimAction.WriteClaim(request.target, record(ClaimState.Claimed), expectedVersion))
    }

    private fun onWriteApplied(
        now: Timestamp,
        version: ClaimVersion,
    ): List<ClaimAction> =
        when (phase) {
            Phase.CLAIMING -> {
                onClaimHeld(now, version)
            }

            Phase.STORING -> {
                finish()
            }

            else -> {
                emptyList()
            }
        }

    private fun onClaimHeld(
        now: Timestamp,
        version: ClaimVersion,
    ): List<ClaimAction> {
        heldVersion = version
        if (answered || now >= request.deadline) return release(RefusalReason.DEADLINE_UNREACHABLE, TOO_LATE)
        if (paused || now - firstWrite > settings.validity) return release(RefusalReason.PLATFORM_UNAVAILABLE, EXPIRED)
        phase = Phase.SENT
        return listOf(ClaimAction.Send(minOf(firstWrite + settings.validity, request.deadline)))
    }

    /** Releases a claim under which no byte was sent, so that a retry can run the call. */
    private fun release(
        reason: RefusalReason,
        message: String,
    ): List<ClaimAction> = notRun(reason, message) + store(ClaimState.NotRun)

    private fun onWriteConflict(
        now: Timestamp,
        current: StoredClaim,
    ): List<ClaimAction> =
        when (phase) {
            Phase.CLAIMING -> {
                evaluate(now, current)
            }

            // Only this request changes the claim that it holds, so an earlier write of the outcome was applied.
            Phase.STORING -> {
                finish()
            }

            else -> {
                emptyList()
            }
        }

    private fun evaluate(
        now: Timestamp,
        current: StoredClaim,
    ): List<ClaimAction> {
        val record = current.record
        if (record?.request == request.request) return onClaimHeld(now, current.version)
        if (record?.state == ClaimState.NotRun && record.digest == request.digest) return takeOver(now, current)
        if (answered) return finish()
        if (record?.state == ClaimState.Claimed && record.digest == request.digest) return awaitHolder(now, record)
        return finish() + answerRetry(record)
    }

    private fun takeOver(
        now: Timestamp,
        current: StoredClaim,
    ): List<ClaimAction> {
        if (answered) return finish()
        if (now - firstWrite > settings.validity || paused) {
            return finish() + notRun(RefusalReason.PLATFORM_UNAVAILABLE, EXPIRED)
        }
        expectedVersion = current.version
        return writeClaim()
    }

    private fun answerRetry(record: ClaimRecord?): ClaimAction {
        answered = true
        if (record == null) return unknown(UnknownReason.CLAIM_HOLDER_LOST, "the claim of this key cannot be read")
        if (record.digest != request.digest) {
            val message = "the idempotency key was used for another call"
            return answer(ClaimOutcome.NotRun(CallOutcome.NotRun(RefusalReason.KEY_REUSED, message)))
        }
        return when (val state = record.state) {
            is ClaimState.Done -> {
                answer(ClaimOutcome.Answered(state.status, state.bodyBytes(), state.contentType, repeated = true))
            }

            is ClaimState.Unknown -> {
                unknown(state.reason, "the answer to an earlier request was lost")
            }

            ClaimState.Claimed, ClaimState.NotRun -> {
                inProgress()
            }
        }
    }

    private fun awaitHolder(
        now: Timestamp,
        record: ClaimRecord,
    ): List<ClaimAction> {
        val age = request.arrived - record.time + (now - firstWrite)
        if (!isLive(record.holder) || age > settings.maxCallDuration) {
            val message = "the instance that held the claim of this key was lost"
            return finish() + unknown(UnknownReason.CLAIM_HOLDER_LOST, message)
        }
        val ends = waitDeadline ?: minOf(now + settings.outcomeTimeout, request.deadline).also { waitDeadline = it }
        if (now >= ends) return stopWaiting()
        phase = Phase.WAITING
        val delay = minOf(settings.pollDelay(polls++), ends - now)
        return listOf(ClaimAction.ReadClaim(request.target, delay))
    }

    private fun stopWaiting(): List<ClaimAction> = finish() + inProgress()

    private fun inProgress(): ClaimAction {
        val message = "an earlier request with this key is in progress"
        return unknown(UnknownReason.CLAIM_IN_PROGRESS, message, settings.retryAfter)
    }

    private fun onWriteUnconfirmed(): List<ClaimAction> =
        when (phase) {
            Phase.CLAIMING -> {
                hasUnconfirmedWrite = true
                phase = Phase.READING
                listOf(ClaimAction.ReadClaim(request.target))
            }

            Phase.STORING -> {
                retryStore()
            }

            else -> {
                emptyList()
            }
        }

    private fun onWriteNotApplied(): List<ClaimAction> =
        when (phase) {
            Phase.CLAIMING -> {
                val answer = notRun(RefusalReason.PLATFORM_UNAVAILABLE, NO_PLATFORM)
                // An earlier unconfirmed write may have been applied; releasing the claim lets a retry run the call.
                if (hasUnconfirmedWrite) answer + retryRead() else finish() + answer
            }

            Phase.STORING -> {
                retryStore()
            }

            else -> {
                emptyList()
            }
        }

    private fun onReadBack(
        now: Timestamp,
        current: StoredClaim?,
    ): List<ClaimAction> =
        when {
            phase == Phase.WAITING -> {
                if (current != null) evaluate(now, current) else finish() + answerRetry(null)
            }

            phase != Phase.READING -> {
                emptyList()
            }

            current != null -> {
                evaluate(now, current)
            }

            answered -> {
                finish()
            }

            now >= request.deadline -> {
                finish() + notRun(RefusalReason.DEADLINE_UNREACHABLE, TOO_LATE)
            }

            paused || now - firstWrite > settings.validity -> {
                finish() +
                    notRun(RefusalReason.PLATFORM_UNAVAILABLE, EXPIRED)
            }

            else -> {
                writeClaim()
            }
        }

    private fun onReadUnavailable(): List<ClaimAction> =
        when (phase) {
            Phase.READING -> notRun(RefusalReason.PLATFORM_UNAVAILABLE, NO_PLATFORM) + retryRead()
            Phase.WAITING -> stopWaiting()
            else -> emptyList()
        }

    private fun retryRead(): List<ClaimAction> {
        failures++
        if (failures >= settings.maxAttempts) return finish()
        phase = Phase.READING
        return listOf(ClaimAction.ReadClaim(request.target, settings.backoff(failures)))
    }

    private fun onEndpointAnswered(event: ClaimEvent.EndpointAnswered): List<ClaimAction> {
        if (phase != Phase.SENT) return emptyList()
        val isSmall = event.body.size <= settings.maxStoredBodyBytes
        val body = if (isSmall) Base64.encode(event.body) else null
        val answer = ClaimOutcome.Answered(event.status, event.body, event.contentType, repeated = false)
        return answerOnce(answer) + store(ClaimState.Done(event.status, event.contentType, body))
    }

    private fun onEndpointNotRun(event: ClaimEvent.EndpointNotRun): List<ClaimAction> {
        if (phase != Phase.SENT) return emptyList()
        return notRun(RefusalReason.ENDPOINT_REFUSED, "the endpoint did not run the call", event.retryAfter) +
            store(ClaimState.NotRun)
    }

    private fun onEndpointLost(): List<ClaimAction> {
        if (phase != Phase.SENT) return emptyList()
        val outcome = CallOutcome.Unknown(UnknownReason.ENDPOINT_LOST, "the endpoint's answer was lost")
        return answerOnce(ClaimOutcome.Unknown(outcome)) + store(ClaimState.Unknown(UnknownReason.ENDPOINT_LOST))
    }

    private fun onDeadlinePassed(): List<ClaimAction> =
        when (phase) {
            Phase.NEW, Phase.CLAIMING, Phase.READING -> {
                notRun(RefusalReason.DEADLINE_UNREACHABLE, TOO_LATE)
            }

            Phase.WAITING -> {
                stopWaiting()
            }

            Phase.SENT -> {
                val outcome = CallOutcome.Unknown(UnknownReason.DEADLINE_PASSED, "no answer came by the deadline")
                answerOnce(ClaimOutcome.Unknown(outcome, settings.retryAfter))
            }

            Phase.STORING, Phase.FINISHED -> {
                emptyList()
            }
        }

    private fun onWokeFromPause(): List<ClaimAction> {
        paused = true
        return if (phase == Phase.CLAIMING || phase == Phase.READING) {
            notRun(RefusalReason.PLATFORM_UNAVAILABLE, EXPIRED)
        } else {
            emptyList()
        }
    }

    private fun onInstanceEnding(): List<ClaimAction> =
        when (phase) {
            Phase.NEW, Phase.CLAIMING, Phase.READING -> {
                notRun(RefusalReason.STOPPING, STOPPING)
            }

            Phase.WAITING -> {
                stopWaiting()
            }

            Phase.SENT -> {
                val outcome =
                    CallOutcome.Unknown(
                        UnknownReason.INSTANCE_STOPPED,
                        "no answer came before this instance stopped",
                    )
                answerOnce(ClaimOutcome.Unknown(outcome, settings.retryAfter)) +
                    store(ClaimState.Unknown(UnknownReason.INSTANCE_STOPPED))
            }

            Phase.STORING, Phase.FINISHED -> {
                emptyList()
            }
        }

    private fun store(state: ClaimState): List<ClaimAction> {
        phase = Phase.STORING
        storedState = state
        failures = 0
        return listOf(storeAction(Duration.ZERO))
    }

    private fun retryStore(): List<ClaimAction> {
        failures++
        if (failures >= settings.maxAttempts) return finish()
        return listOf(storeAction(settings.backoff(failures)))
    }

    private fun storeAction(after: Duration): ClaimAction {
        val version = checkNotNull(heldVersion) { "request ${request.request} stores an outcome without a claim" }
        return ClaimAction.StoreOutcome(request.target, record(storedState), version, after)
    }

    private fun record(state: ClaimState) =
        ClaimRecord(request.key.value, request.digest, self, request.request, request.arrived, state)

    private fun finish(): List<ClaimAction> {
        phase = Phase.FINISHED
        return emptyList()
    }

    private fun notRun(
        reason: RefusalReason,
        message: String,
        retryAfter: Duration? = null,
    ): List<ClaimAction> {
        val after = retryAfter ?: settings.retryAfter.takeIf { reason.retryable }
        return answerOnce(ClaimOutcome.NotRun(CallOutcome.NotRun(reason, message, after)))
    }

    private fun unknown(
        reason: UnknownReason,
        message: String,
        retryAfter: Duration? = null,
    ): ClaimAction = answer(ClaimOutcome.Unknown(CallOutcome.Unknown(reason, message), retryAfter))

    private fun answerOnce(outcome: ClaimOutcome): List<ClaimAction> {
        if (answered) return emptyList()
        answered = true
        return listOf(answer(outcome))
    }

    private fun answer(outcome: ClaimOutcome) = ClaimAction.Answer(outcome)

    private companion object {
        const val TOO_LATE = "the deadline passed before the call was sent"
        const val EXPIRED = "the claim was not confirmed while it was valid"
        const val NO_PLATFORM = "the platform cannot store the claim of this call"
        const val STOPPING = "this instance stopped before the call was sent"
        const val NOT_SENT = "no endpoint was reached"
    }
}
