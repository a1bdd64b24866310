package oriolespindle.core.claim

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A fault that the owner of the machines adds, to show that the figures below depend on the mechanism. */
enum class Defect {
    NONE,
    LOST_WRITE_COUNTS_AS_LANDED,
    LOST_WRITE_COUNTS_AS_REFUSED,
    LOST_ANSWER_IS_SENT_AGAIN,
    LOST_ANSWER_COUNTS_AS_NOT_RUN,
    CLAIM_OF_DEAD_HOLDER_IS_FREE,
}

/** One seeded schedule of faults: one key, a few requests over three instances, a platform and a service. */
class ClaimWorld(
    seed: Long,
    private val defect: Defect,
) {
    private class Task(
        val at: Timestamp,
        val order: Int,
        val run: () -> Unit,
    )

    private inner class Instance(
        val id: InstanceId,
    ) {
        val diesAt = if (chance(0.4)) time(6_000) else Timestamp(Long.MAX_VALUE)
        val pause = interval(0.3, 8_000)
        val cut = interval(0.2, 8_000)
        val noticesPause = chance(0.5)
        val alive get() = now < diesAt

        /** Runs [action] on the instance: never once it is dead, and after its pause when it is paused. */
        fun run(
            at: Timestamp,
            action: () -> Unit,
        ) = schedule(at) {
            if (alive && now in pause) schedule(pause.endInclusive + 1.milliseconds) { if (alive) action() }
            if (alive && now !in pause) action()
        }
    }

    private inner class Call(
        val instance: Instance,
        val id: RequestId,
        digest: RequestDigest,
    ) {
        val answers = mutableListOf<ClaimOutcome>()
        private val request = ClaimRequest(id, key, target, digest, epoch + (now - Timestamp.ZERO), now + 2.seconds)
        private val machine = ClaimCall(instance.id, request) { id -> instances.first { it.id == id }.alive }

        fun start() {
            instance.run(now) { handle(ClaimEvent.Start) }
            instance.run(request.deadline) { handle(ClaimEvent.DeadlinePassed) }
            if (instance.noticesPause && now <= instance.pause.endInclusive) {
                schedule(instance.pause.endInclusive) { handle(ClaimEvent.WokeFromPause) }
            }
        }

        fun handle(event: ClaimEvent) {
            if (instance.alive) machine.handle(now, event).forEach(::perform)
        }

        private fun reply(event: ClaimEvent) = instance.run(now + delay(5)) { handle(event) }

        private fun perform(action: ClaimAction) {
            when (action) {
                is ClaimAction.Answer -> answers += action.outcome
                is ClaimAction.Send -> instance.run(now + delay(2)) { send(action) }
                is ClaimAction.ReadClaim -> instance.run(now + action.after) { read() }
                is ClaimAction.WriteClaim -> write(action.value, action.expected)
                is ClaimAction.StoreOutcome -> instance.run(now + action.after) { write(action.value, action.expected) }
            }
        }

        private fun write(
            value: ClaimRecord,
            expected: ClaimVersion?,
        ) {
            val lost = if (value.state == ClaimState.Claimed) lostWrite() else ClaimEvent.WriteLost
            val unreachable = now in outage || now in instance.cut
            when {
                unreachable && chance(0.5) -> {
                    reply(ClaimEvent.WriteUnavailable)
                }

                unreachable || chance(0.1) -> {
                    instance.run(now + 300.milliseconds) { handle(lost) }
                }

                chance(0.15) -> {
                    schedule(now + delay(if (chance(0.5)) 5 else 6_000)) { apply(value, expected) }
                    instance.run(now + 300.milliseconds) { handle(lost) }
                }

                else -> {
                    schedule(now + delay(5)) { reply(apply(value, expected)) }
                }
            }
        }

        private fun lostWrite(): ClaimEvent =
            when (defect) {
                Defect.LOST_WRITE_COUNTS_AS_LANDED -> ClaimEvent.WriteLanded(ClaimVersion(0))
                Defect.LOST_WRITE_COUNTS_AS_REFUSED -> ClaimEvent.WriteUnavailable
                else -> ClaimEvent.WriteLost
            }

        private fun apply(
            value: ClaimRecord,
            expected: ClaimVersion?,
        ): ClaimEvent {
            val current = stored
            if (current?.version != expected) return ClaimEvent.WriteConflict(seen(current ?: ABSENT))
            val version = ClaimVersion((current?.version?.value ?: 0) + 1)
            stored = StoredClaim(version, ClaimRecord.parse(value.encode()))
            return ClaimEvent.WriteLanded(version)
        }

        private fun seen(claim: StoredClaim): StoredClaim {
            val record = claim.record ?: return claim
            val dead = record.state == ClaimState.Claimed && instances.none { it.id == record.holder && it.alive }
            val free = dead && defect == Defect.CLAIM_OF_DEAD_HOLDER_IS_FREE
            return if (free) claim.copy(record = record.copy(state = ClaimState.NotRun)) else claim
        }

        private fun read() {
            val unreachable = now in outage || now in instance.cut || chance(0.1)
            if (unreachable) return instance.run(now + 300.milliseconds) { handle(ClaimEvent.ReadUnavailable) }
            schedule(now + delay(5)) { reply(ClaimEvent.ReadBack(stored?.let(::seen))) }
        }

        private fun send(action: ClaimAction.Send) {
            if (now > action.notAfter) return handle(ClaimEvent.NotSent(RefusalReason.DEADLINE_UNREACHABLE))
            val lost = chance(0.2)
            when {
                chance(0.1) -> return reply(ClaimEvent.NotSent(RefusalReason.NO_ENDPOINT))
                chance(0.1) -> return reply(ClaimEvent.EndpointNotRun())
                lost && chance(0.3) -> Unit
                else -> schedule(now + delay(if (chance(0.8)) 20 else 4_000)) { runCall(lost) }
            }
            if (lost) instance.run(now + 200.milliseconds) { handleLostAnswer(action) }
        }

        private fun runCall(lost: Boolean) {
            effects += id
            if (!lost) reply(ClaimEvent.EndpointAnswered(200, "ok".toByteArray()))
        }

        private fun handleLostAnswer(action: ClaimAction.Send) =
            when (defect) {
                Defect.LOST_ANSWER_IS_SENT_AGAIN -> send(action)
                Defect.LOST_ANSWER_COUNTS_AS_NOT_RUN -> handle(ClaimEvent.EndpointNotRun())
                else -> handle(ClaimEvent.EndpointLost)
            }
    }

    private val random = SplittableRandom(seed)
    private val tasks = PriorityQueue(compareBy<Task>({ it.at }, { it.order }))
    private var order = 0
    private var now = Timestamp.ZERO
    private val outage = interval(0.2, 6_000)
    private val instances = List(3) { Instance(InstanceId("i$it")) }
    private val epoch = Instant.fromEpochMilliseconds(1_704_067_200_000)
    private val key = IdempotencyKey.parse("018cc251-f400-7abc-8def-0123456789ab")
    private val target = ClaimObject.of(TeamId("t"), key)
    private val digests = List(2) { RequestDigest.of("stock", "POST", "/deduct", byteArrayOf(it.toByte())) }
    private var stored: StoredClaim? = null
    private val effects = mutableListOf<RequestId>()
    private val calls = mutableListOf<Call>()

    /** Runs the schedule to its end and counts what the service and the callers saw. */
    fun run(): ClaimCounts {
        repeat(1 + random.nextInt(6)) { index ->
            val at = if (chance(0.3)) Timestamp.ZERO else time(12_000)
            val digest = digests[if (chance(0.05)) 1 else 0]
            schedule(at) { Call(instances[random.nextInt(3)], RequestId("r$index"), digest).also(calls::add).start() }
        }
        while (true) {
            val task = tasks.poll() ?: break
            now = task.at
            task.run()
        }
        val outcomes = calls.flatMap { call -> call.answers.map { call.id to it } }
        val holder = stored?.record?.takeIf { it.state == ClaimState.Claimed }?.holder
        return ClaimCounts(
            requests = calls.size,
            duplicates = maxOf(0, effects.size - 1),
            falseNotRun = outcomes.count { (id, outcome) -> outcome is ClaimOutcome.NotRun && id in effects },
            falseDone = outcomes.count { (_, outcome) -> outcome is ClaimOutcome.Answered && effects.isEmpty() },
            answeredTwice = calls.count { it.answers.size > 1 },
            unansweredByLive = calls.count { it.answers.isEmpty() && it.instance.alive },
            done = outcomes.count { (_, outcome) -> outcome is ClaimOutcome.Answered },
            notRun = outcomes.count { (_, outcome) -> outcome is ClaimOutcome.NotRun },
            blockedKeys = if (effects.isEmpty() && instances.any { it.id == holder && it.alive }) 1 else 0,
        )
    }

    private fun chance(probability: Double) = random.nextDouble() < probability

    private fun delay(millis: Int): Duration = random.nextInt(millis * 1_000).let { (it / 1_000.0).milliseconds }

    private fun time(millis: Int) = Timestamp.ZERO + delay(millis)

    private fun interval(
        probability: Double,
        millis: Int,
    ): ClosedRange<Timestamp> {
        val start = time(10_000)
        return if (chance(probability)) start..(start + delay(millis)) else Timestamp(-2)..Timestamp(-1)
    }

    private fun schedule(
        at: Timestamp,
        action: () -> Unit,
    ) {
        tasks += Task(maxOf(at, now), order++, action)
    }

    private companion object {
        val ABSENT = StoredClaim(ClaimVersion(0), null)
    }
}

/** What one or more schedules showed. */
data class ClaimCounts(
    val requests: Int = 0,
    val duplicates: Int = 0,
    val falseNotRun: Int = 0,
    val falseDone: Int = 0,
    val answeredTwice: Int = 0,
    val unansweredByLive: Int = 0,
    val done: Int = 0,
    val notRun: Int = 0,
    val blockedKeys: Int = 0,
) {
    operator fun plus(other: ClaimCounts) =
        ClaimCounts(
            requests + other.requests,
            duplicates + other.duplicates,
            falseNotRun + other.falseNotRun,
            falseDone + other.falseDone,
            answeredTwice + other.answeredTwice,
            unansweredByLive + other.unansweredByLive,
            done + other.done,
            notRun + other.notRun,
            blockedKeys + other.blockedKeys,
        )
}
