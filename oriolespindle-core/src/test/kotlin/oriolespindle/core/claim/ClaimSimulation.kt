package oriolespindle.core.claim

import oriolespindle.core.VirtualTime
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A deliberate error in the handling of events, which shows that the simulation detects its consequences. */
enum class Defect {
    NONE,
    LOST_WRITE_TREATED_AS_APPLIED,
    LOST_WRITE_TREATED_AS_NOT_APPLIED,
    CALL_RESENT_AFTER_LOST_ANSWER,
    LOST_ANSWER_TREATED_AS_NOT_RUN,
    CLAIM_OF_DEAD_HOLDER_RELEASED,
}

/** Simulates one seeded schedule of faults: one key, a few requests at three instances, a platform and a service. */
class ClaimSimulation(
    seed: Long,
    private val defect: Defect,
) {
    private inner class Instance(
        val id: InstanceId,
    ) {
        val crashesAt = if (chance(0.4)) randomTimestamp(6_000) else Timestamp(Long.MAX_VALUE)
        val pause = randomInterval(0.3, 8_000)
        val partition = randomInterval(0.2, 8_000)
        val detectsPause = chance(0.5)
        val isAlive get() = now < crashesAt

        /** Runs [action] on the instance: after its pause if it is paused, and not at all once it has crashed. */
        fun run(
            at: Timestamp,
            action: () -> Unit,
        ) = time.at(at) {
            if (isAlive && now in pause) time.at(pause.endInclusive + 1.milliseconds) { if (isAlive) action() }
            if (isAlive && now !in pause) action()
        }
    }

    private inner class Call(
        val instance: Instance,
        val id: RequestId,
        digest: RequestDigest,
    ) {
        val answers = mutableListOf<ClaimOutcome>()
        private val request = ClaimRequest(id, key, target, digest, epoch + (now - Timestamp.ZERO), now + 2.seconds)
        private val machine = ClaimCall(instance.id, request) { id -> instances.first { it.id == id }.isAlive }

        fun start() {
            instance.run(now) { handle(ClaimEvent.Start) }
            instance.run(request.deadline) { handle(ClaimEvent.DeadlinePassed) }
            if (instance.detectsPause && now <= instance.pause.endInclusive) {
                time.at(instance.pause.endInclusive) { handle(ClaimEvent.WokeFromPause) }
            }
        }

        fun handle(event: ClaimEvent) {
            if (instance.isAlive) machine.handle(now, event).forEach(::perform)
        }

        private fun reply(event: ClaimEvent) = instance.run(now + randomDelay(5)) { handle(event) }

        private fun perform(action: ClaimAction) {
            when (action) {
                is ClaimAction.Answer -> answers += action.outcome
                is ClaimAction.Send -> instance.run(now + randomDelay(2)) { send(action) }
                is ClaimAction.ReadClaim -> instance.run(now + action.after) { read() }
                is ClaimAction.WriteClaim -> write(action.value, action.expected)
                is ClaimAction.StoreOutcome -> instance.run(now + action.after) { write(action.value, action.expected) }
            }
        }

        private fun write(
            value: ClaimRecord,
            expected: ClaimVersion?,
        ) {
            val lost = if (value.state == ClaimState.Claimed) lostWriteEvent() else ClaimEvent.WriteUnconfirmed
            val unreachable = now in outage || now in instance.partition
            when {
                unreachable && chance(0.5) -> {
                    reply(ClaimEvent.WriteNotApplied)
                }

                unreachable || chance(0.1) -> {
                    instance.run(now + 300.milliseconds) { handle(lost) }
                }

                chance(0.15) -> {
                    time.at(now + randomDelay(if (chance(0.5)) 5 else 6_000)) { apply(value, expected) }
                    instance.run(now + 300.milliseconds) { handle(lost) }
                }

                else -> {
                    time.at(now + randomDelay(5)) { reply(apply(value, expected)) }
                }
            }
        }

        private fun lostWriteEvent(): ClaimEvent =
            when (defect) {
                Defect.LOST_WRITE_TREATED_AS_APPLIED -> ClaimEvent.WriteApplied(ClaimVersion(0))
                Defect.LOST_WRITE_TREATED_AS_NOT_APPLIED -> ClaimEvent.WriteNotApplied
                else -> ClaimEvent.WriteUnconfirmed
            }

        private fun apply(
            value: ClaimRecord,
            expected: ClaimVersion?,
        ): ClaimEvent {
            val current = stored
            if (current?.version !=
                expected
            ) {
                return ClaimEvent.WriteConflict(asObserved(current ?: StoredClaim(ClaimVersion(0), null)))
            }
            val version = ClaimVersion((current?.version?.value ?: 0) + 1)
            stored = StoredClaim(version, ClaimRecord.parse(value.encode()))
            return ClaimEvent.WriteApplied(version)
        }

        private fun asObserved(claim: StoredClaim): StoredClaim {
            val record = claim.record ?: return claim
            val orphaned = record.state == ClaimState.Claimed && instances.none { it.id == record.holder && it.isAlive }
            val isReleased = orphaned && defect == Defect.CLAIM_OF_DEAD_HOLDER_RELEASED
            return if (isReleased) claim.copy(record = record.copy(state = ClaimState.NotRun)) else claim
        }

        private fun read() {
            val unreachable = now in outage || now in instance.partition || chance(0.1)
            if (unreachable) return instance.run(now + 300.milliseconds) { handle(ClaimEvent.ReadUnavailable) }
            time.at(now + randomDelay(5)) { reply(ClaimEvent.ReadBack(stored?.let(::asObserved))) }
        }

        private fun send(action: ClaimAction.Send) {
            if (now > action.notAfter) return handle(ClaimEvent.NotSent(RefusalReason.DEADLINE_UNREACHABLE))
            val lost = chance(0.2)
            when {
                chance(0.1) -> return reply(ClaimEvent.NotSent(RefusalReason.NO_ENDPOINT))
                chance(0.1) -> return reply(ClaimEvent.EndpointNotRun())
                lost && chance(0.3) -> Unit
                else -> time.at(now + randomDelay(if (chance(0.8)) 20 else 4_000)) { runCall(lost) }
            }
            if (lost) instance.run(now + 200.milliseconds) { handleLostAnswer(action) }
        }

        private fun runCall(lost: Boolean) {
            effects += id
            if (!lost) reply(ClaimEvent.EndpointAnswered(200, "ok".toByteArray()))
        }

        private fun handleLostAnswer(action: ClaimAction.Send) =
            when (defect) {
                Defect.CALL_RESENT_AFTER_LOST_ANSWER -> send(action)
                Defect.LOST_ANSWER_TREATED_AS_NOT_RUN -> handle(ClaimEvent.EndpointNotRun())
                else -> handle(ClaimEvent.EndpointLost)
            }
    }

    private val random = SplittableRandom(seed)
    private val time = VirtualTime()
    private val now get() = time.now
    private val outage = randomInterval(0.2, 6_000)
    private val instances = List(3) { Instance(InstanceId("i$it")) }
    private val epoch = Instant.fromEpochMilliseconds(1_704_067_200_000)
    private val key = IdempotencyKey.parse("018cc251-f400-7abc-8def-0123456789ab")
    private val target = ClaimObject.of(TeamId("t"), key)
    private val digests = List(2) { RequestDigest.of("stock", "POST", "/deduct", byteArrayOf(it.toByte())) }
    private var stored: StoredClaim? = null
    private val effects = mutableListOf<RequestId>()
    private val calls = mutableListOf<Call>()

    /** Runs the schedule to its end and counts what the service and the callers observed. */
    fun run(counts: ClaimCounts) {
        repeat(1 + random.nextInt(6)) { index ->
            val at = if (chance(0.3)) Timestamp.ZERO else randomTimestamp(12_000)
            val digest = digests[if (chance(0.05)) 1 else 0]
            time.at(
                at,
            ) { Call(instances[random.nextInt(3)], RequestId("r$index"), digest).also(calls::add).start() }
        }
        time.runAll()
        val outcomes = calls.flatMap { call -> call.answers.map { call.id to it } }
        val holder = stored?.record?.takeIf { it.state == ClaimState.Claimed }?.holder
        counts.requests += calls.size
        counts.duplicates += maxOf(0, effects.size - 1)
        counts.falseNotRun += outcomes.count { (id, outcome) -> outcome is ClaimOutcome.NotRun && id in effects }
        counts.falseDone += outcomes.count { (_, outcome) -> outcome is ClaimOutcome.Answered && effects.isEmpty() }
        counts.answeredTwice += calls.count { it.answers.size > 1 }
        counts.unansweredByLive += calls.count { it.answers.isEmpty() && it.instance.isAlive }
        counts.done += outcomes.count { (_, outcome) -> outcome is ClaimOutcome.Answered }
        counts.notRun += outcomes.count { (_, outcome) -> outcome is ClaimOutcome.NotRun }
        if (effects.isEmpty() && instances.any { it.id == holder && it.isAlive }) counts.blockedKeys++
    }

    private fun chance(probability: Double) = random.nextDouble() < probability

    private fun randomDelay(millis: Int): Duration = random.nextInt(millis * 1_000).let { (it / 1_000.0).milliseconds }

    private fun randomTimestamp(millis: Int) = Timestamp.ZERO + randomDelay(millis)

    private fun randomInterval(
        probability: Double,
        millis: Int,
    ): ClosedRange<Timestamp> {
        val start = randomTimestamp(10_000)
        return if (chance(probability)) start..(start + randomDelay(millis)) else Timestamp(-2)..Timestamp(-1)
    }
}

/** The sums over all schedules. */
data class ClaimCounts(
    var requests: Int = 0,
    var duplicates: Int = 0,
    var falseNotRun: Int = 0,
    var falseDone: Int = 0,
    var answeredTwice: Int = 0,
    var unansweredByLive: Int = 0,
    var done: Int = 0,
    var notRun: Int = 0,
    var blockedKeys: Int = 0,
)
