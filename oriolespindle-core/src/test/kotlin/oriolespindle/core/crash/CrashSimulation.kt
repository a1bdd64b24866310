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

/** The parameters of a simulation, and which parts of the mechanism are disabled. */
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

/** Sums over seeded runs; [maxEndpointsCrashed] is the largest number of endpoints that one request crashed. */
class CrashCounts {
    var harmless = 0
    var suspects = 0
    var harmlessRefused = 0
    var harmlessLate = 0
    val endpointsCrashed = sortedMapOf<Int, Int>()
    val maxEndpointsCrashed get() = endpointsCrashed.lastKey()

    override fun toString() =
        "$harmless harmless requests, $suspects of them suspected, $harmlessRefused refused, $harmlessLate late; " +
            "endpoints crashed by the faulty request, with the number of seeds: $endpointsCrashed"
}

/**
 * Simulates nine instances, endpoints and callers.
 *
 * An endpoint crashes when it runs the faulty request, which its caller retries, and sometimes at random.
 */
class CrashSimulation(
    seed: Long,
    private val scenario: CrashScenario,
    private val counts: CrashCounts,
) {
    private class Run(
        val instance: Int,
        val fingerprint: Fingerprint,
        val isFaulty: Boolean,
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
    private var endpointsCrashed = 0

    fun run() {
        val total = SECONDS * scenario.requestsPerSecond
        repeat(total) { index ->
            // One request in twenty has one of ten prompts that many callers use.
            val text = if (random.nextInt(20) == 0) "popular ${random.nextInt(10)}" else "prompt $index"
            schedule(randomMillis(1_000 * SECONDS)) { onArrival(text, isFaulty = false) }
        }
        counts.harmless += total
        repeat(scenario.copies) { schedule(5.seconds) { onArrival("culprit", isFaulty = true) } }
        // One unrelated crash in 5 min, far more than with real endpoints. A request that is in flight at such a crash
        // and, within seconds, at one caused by the faulty request cannot be distinguished from the faulty request.
        if (random.nextInt(10) ==
            0
        ) {
            schedule(randomMillis(1_000 * SECONDS)) { crash(endpoints[random.nextInt(endpoints.size)]) }
        }
        if (scenario.rackFails) endpoints.take(6).forEach { schedule(10.seconds + randomMillis(500)) { crash(it) } }
        time.runAll()
        counts.endpointsCrashed.merge(endpointsCrashed, 1, Int::plus)
    }

    private fun onArrival(
        text: String,
        isFaulty: Boolean,
    ) {
        val fingerprint = Fingerprint.of(TeamId("t"), "model", text.toByteArray())
        val length = if (isFaulty) 50.milliseconds + randomMillis(950) else 500.milliseconds + randomMillis(9_500)
        admit(Run(random.nextInt(guards.size), fingerprint, isFaulty, length, now + 30.seconds))
    }

    private fun admit(run: Run) {
        when (val admission = guards[run.instance].admit(now, run.fingerprint)) {
            is Admission.Free -> {
                startOnChain(run, emptySet(), strict = false)
            }

            is Admission.Refuse -> {
                onNotRun(run, late = false)
            }

            is Admission.Isolate -> {
                if (!run.suspected && !run.isFaulty) counts.suspects++
                run.suspected = true
                val avoid = if (scenario.isolate) admission.avoid else emptySet()
                if (admission.wait >
                    Duration.ZERO
                ) {
                    schedule(admission.wait) { admit(run) }
                } else {
                    startOnChain(run, avoid, admission.strict)
                }
            }
        }
    }

    private fun onNotRun(
        run: Run,
        late: Boolean,
    ) {
        if (run.isFaulty) {
            if (now <
                Timestamp.ZERO + (2 * SECONDS).seconds
            ) {
                schedule(5.milliseconds + randomMillis(1_000)) { onArrival("culprit", true) }
            }
        } else if (late) {
            counts.harmlessLate++
        } else {
            counts.harmlessRefused++
        }
    }

    private fun startOnChain(
        run: Run,
        avoid: Set<EndpointId>,
        strict: Boolean,
    ) {
        val live = endpoints.chunked(scenario.chainLength).filter { chain -> chain.all { it in up } }
        val isolated = live.filter { chain -> chain.none { it in avoid } }
        val chains = if (isolated.isEmpty() && !strict) live else isolated
        if (now > run.deadline) return onNotRun(run, late = true)
        if (chains.isEmpty()) return schedule(50.milliseconds) { admit(run) }
        run.chain = chains[random.nextInt(chains.size)]
        val attempt = ++run.attempt
        running += run
        guards[run.instance].onStarted(now, run.fingerprint, run.chain)
        schedule(run.length) { if (run in running && run.attempt == attempt) finish(run) }
    }

    private fun finish(run: Run) {
        if (run.isFaulty) {
            endpointsCrashed++
            return crash(run.chain[random.nextInt(run.chain.size)])
        }
        running -= run
        guards[run.instance].onFinished(now, run.fingerprint, run.chain, complete = true)
        sendEvidence(run.instance)
    }

    private fun crash(endpoint: EndpointId) {
        if (!up.remove(endpoint)) return
        schedule(20.seconds) { up += endpoint }
        val lost = running.filter { endpoint in it.chain }
        running -= lost.toSet()
        guards.indices.forEach { index -> schedule(randomMillis(50)) { onCrashDetected(index, endpoint, lost) } }
    }

    private fun onCrashDetected(
        index: Int,
        endpoint: EndpointId,
        lost: List<Run>,
    ) {
        val guard = guards[index]
        guard.onCrash(now, endpoint)
        val own = lost.filter { it.instance == index }
        own.forEach { guard.onFinished(now, it.fingerprint, it.chain, complete = false) }
        sendEvidence(index)
        own.forEach(::admit)
    }

    private fun sendEvidence(index: Int) {
        val guard = guards[index]
        val evidence = guard.evidence(sent[index])
        sent[index] = guard.revision
        if (!scenario.exchange || evidence.isEmpty()) return
        guards.forEach { peer -> if (peer !== guard) schedule(randomMillis(150)) { peer.merge(now, evidence) } }
    }

    private fun randomMillis(limit: Int): Duration = random.nextInt(limit * 1_000).let { (it / 1_000.0).milliseconds }

    private fun schedule(
        after: Duration,
        action: () -> Unit,
    ) = time.at(now + after, action)

    private companion object {
        const val SECONDS = 30
    }
}
