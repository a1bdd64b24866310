package oriolespindle.core.crash

import oriolespindle.core.VirtualTime
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.time.Timestamp
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What is simulated, and which part of the mechanism is off. */
data class CrashScenario(
    val name: String,
    val endpoints: Int = 40,
    val chainLength: Int = 1,
    val copies: Int = 1,
    val requestsPerSecond: Int = 200,
    val exchange: Boolean = true,
    val isolate: Boolean = true,
    val rackFails: Boolean = false,
)

/** Sums over seeded runs; [most] is the largest number of endpoints that one request ended. */
class CrashCounts {
    var innocents = 0
    var suspects = 0
    var innocentsRefused = 0
    var innocentsLate = 0
    val ended = sortedMapOf<Int, Int>()
    val most get() = ended.lastKey()

    override fun toString() =
        "$innocents innocent requests, $suspects of them suspected, $innocentsRefused refused, $innocentsLate late; " +
            "endpoints ended by the culprit, with the number of seeds: $ended"
}

/** Nine instances, endpoints that crash at random and when they run the culprit, and a caller that repeats it. */
class CrashWorld(
    seed: Long,
    private val scenario: CrashScenario,
    private val counts: CrashCounts,
) {
    private class Run(
        val instance: Int,
        val fingerprint: Fingerprint,
        val culprit: Boolean,
        val length: Duration,
        val deadline: Timestamp,
    ) {
        var chain = emptyList<EndpointId>()
        var attempt = 0
        var suspected = false
    }

    private val random = SplittableRandom(seed)
    private val time = VirtualTime()
    private val now get() = time.now
    private val endpoints = List(scenario.endpoints) { EndpointId("e$it") }
    private val up = endpoints.toMutableSet()
    private val guards = List(9) { CrashGuard(CrashSettings(), InstanceId("i$it")) }
    private val sent = LongArray(guards.size)
    private val running = LinkedHashSet<Run>()
    private var ended = 0

    fun run() {
        val total = SECONDS * scenario.requestsPerSecond
        repeat(total) { index ->
            // One request in twenty has one of ten prompts that many callers send.
            val text = if (random.nextInt(20) == 0) "popular ${random.nextInt(10)}" else "prompt $index"
            schedule(millis(1_000 * SECONDS)) { arrive(text, culprit = false) }
        }
        counts.innocents += total
        repeat(scenario.copies) { schedule(5.seconds) { arrive("culprit", culprit = true) } }
        // One unrelated crash in 5 min, far more than real endpoints have; a request that meets one by chance and the
        // culprit within seconds cannot be told from the culprit.
        if (random.nextInt(10) ==
            0
        ) {
            schedule(millis(1_000 * SECONDS)) { crash(endpoints[random.nextInt(endpoints.size)]) }
        }
        if (scenario.rackFails) endpoints.take(6).forEach { schedule(10.seconds + millis(500)) { crash(it) } }
        time.runAll()
        counts.ended.merge(ended, 1, Int::plus)
    }

    private fun arrive(
        text: String,
        culprit: Boolean,
    ) {
        val fingerprint = Fingerprint.of(TeamId("t"), "model", text.toByteArray())
        val length = if (culprit) 50.milliseconds + millis(950) else 500.milliseconds + millis(9_500)
        admit(Run(random.nextInt(guards.size), fingerprint, culprit, length, now + 30.seconds))
    }

    private fun admit(run: Run) {
        when (val admission = guards[run.instance].admit(now, run.fingerprint)) {
            is Admission.Free -> {
                place(run, emptySet(), strict = false)
            }

            is Admission.Refuse -> {
                giveUp(run, late = false)
            }

            is Admission.Isolate -> {
                if (!run.suspected && !run.culprit) counts.suspects++
                run.suspected = true
                val avoid = if (scenario.isolate) admission.avoid else emptySet()
                if (admission.wait >
                    Duration.ZERO
                ) {
                    schedule(admission.wait) { admit(run) }
                } else {
                    place(run, avoid, admission.strict)
                }
            }
        }
    }

    private fun giveUp(
        run: Run,
        late: Boolean,
    ) {
        if (run.culprit) {
            if (now <
                Timestamp.ZERO + (2 * SECONDS).seconds
            ) {
                schedule(5.milliseconds + millis(1_000)) { arrive("culprit", true) }
            }
        } else if (late) {
            counts.innocentsLate++
        } else {
            counts.innocentsRefused++
        }
    }

    private fun place(
        run: Run,
        avoid: Set<EndpointId>,
        strict: Boolean,
    ) {
        val live = endpoints.chunked(scenario.chainLength).filter { chain -> chain.all { it in up } }
        val isolated = live.filter { chain -> chain.none { it in avoid } }
        val chains = if (isolated.isEmpty() && !strict) live else isolated
        if (now > run.deadline) return giveUp(run, late = true)
        if (chains.isEmpty()) return schedule(50.milliseconds) { admit(run) }
        run.chain = chains[random.nextInt(chains.size)]
        val attempt = ++run.attempt
        running += run
        guards[run.instance].started(now, run.fingerprint, run.chain)
        schedule(run.length) { if (run in running && run.attempt == attempt) finish(run) }
    }

    private fun finish(run: Run) {
        if (run.culprit) {
            ended++
            return crash(run.chain[random.nextInt(run.chain.size)])
        }
        running -= run
        guards[run.instance].finished(now, run.fingerprint, run.chain, complete = true)
        share(run.instance)
    }

    private fun crash(endpoint: EndpointId) {
        if (!up.remove(endpoint)) return
        schedule(20.seconds) { up += endpoint }
        val lost = running.filter { endpoint in it.chain }
        running -= lost.toSet()
        guards.indices.forEach { index -> schedule(millis(50)) { notice(index, endpoint, lost) } }
    }

    private fun notice(
        index: Int,
        endpoint: EndpointId,
        lost: List<Run>,
    ) {
        val guard = guards[index]
        guard.crashed(now, endpoint)
        val own = lost.filter { it.instance == index }
        own.forEach { guard.finished(now, it.fingerprint, it.chain, complete = false) }
        share(index)
        own.forEach(::admit)
    }

    private fun share(index: Int) {
        val guard = guards[index]
        val evidence = guard.evidence(sent[index])
        sent[index] = guard.revision
        if (!scenario.exchange || evidence.isEmpty()) return
        guards.forEach { peer -> if (peer !== guard) schedule(millis(150)) { peer.merge(now, evidence) } }
    }

    private fun millis(limit: Int): Duration = random.nextInt(limit * 1_000).let { (it / 1_000.0).milliseconds }

    private fun schedule(
        after: Duration,
        action: () -> Unit,
    ) = time.at(now + after, action)

    private companion object {
        const val SECONDS = 30
    }
}
