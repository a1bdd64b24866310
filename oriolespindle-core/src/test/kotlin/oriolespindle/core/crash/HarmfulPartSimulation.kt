package oriolespindle.core.crash

import oriolespindle.core.VirtualTime
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The size and the faults of a simulated fleet. */
internal data class HarmfulPartScenario(
    val name: String,
    val instances: Int = 9,
    val endpoints: Int = 12,
    val requestsPerSecond: Int = 90,
    val lossShare: Double = 0.025,
    val isZoneCut: Boolean = false,
    val isStoreDown: Boolean = false,
    /** The mean time between ends of endpoints that no request causes. */
    val otherCrashInterval: Duration = 8.seconds,
    /** How long the sound requests come before the harmful ones. */
    val warmUp: Duration = 10.seconds,
    /** Whether endpoints end silently, so that instances learn it when the platform removes the registration. */
    val isSilent: Boolean = false,
    /** The share of the endpoints of its zone that each instance is cut off from for a time. */
    val cutShare: Double = 0.0,
    /** How long an answer takes from its beginning to its end. */
    val answerTime: Duration = Duration.ZERO,
    /** How long an endpoint goes on with the answer to a harmful request before it ends; null if it begins none. */
    val endsAfter: Duration? = null,
    /** Whether all endpoints of a zone end one after the other, twice, for another reason. */
    val hasSeriesOfEnds: Boolean = false,
)

/** Sums over seeded runs; [maxLateArrivals] is the largest number of late arrivals of harmful requests in one run. */
internal class HarmfulPartCounts {
    var sound = 0
    var soundRejected = 0
    var maxLateArrivals = 0
    var maxCrashes = 0

    override fun toString() =
        "$sound sound requests, $soundRejected rejected; at most $maxCrashes endpoints ended under harmful " +
            "requests and $maxLateArrivals reached endpoints late"
}

/**
 * Simulates a fleet with sound requests, a third of them with a part and the caller of the harmful ones, and three
 * harmful requests a second that each end the endpoint that runs them. Both are sent again once.
 */
internal class HarmfulPartSimulation(
    seed: Long,
    private val scenario: HarmfulPartScenario,
    private val counts: HarmfulPartCounts,
) {
    private class Run(
        val instance: Int,
        val traits: Set<RequestTrait>,
        val isHarmful: Boolean,
        val attempt: Int = 1,
        var isBegun: Boolean = false,
    ) {
        val content = traits.last()

        /** Whether the request had been begun to be answered before this run, which resumes it. */
        var isResumed = false
    }

    private val random = SplittableRandom(seed)
    private val time = VirtualTime()
    private val guards = List(scenario.instances) { HarmfulRequestGuard() }
    private val starts = HashMap<Int, Long>()
    private val running = HashMap<Int, MutableList<Run>>()
    private val downUntil = HashMap<Int, Timestamp>()
    private val stored = LinkedHashMap<Int, Pair<Timestamp, CrashNews>>()
    private val crashesByHarmful = ArrayList<Timestamp>()
    private val harmfulArrivals = ArrayList<Timestamp>()

    fun run() {
        val soundCount = ((scenario.warmUp + DURATION).inWholeMilliseconds * scenario.requestsPerSecond / 1_000).toInt()
        repeat(soundCount) { n -> at(randomUntil(scenario.warmUp + DURATION)) { onArrival(sound(n)) } }
        counts.sound += soundCount
        repeat(HARMFUL_REQUESTS) { n ->
            at(scenario.warmUp + randomUntil(DURATION)) { onArrival(harmful(n)) }
        }
        val others = ((scenario.warmUp + DURATION) / scenario.otherCrashInterval).toInt()
        repeat(others) { at(randomUntil(scenario.warmUp + DURATION)) { crash(random.nextInt(scenario.endpoints)) } }
        if (scenario.hasSeriesOfEnds) {
            for ((zone, start) in SERIES_STARTS.withIndex()) {
                (0 until scenario.endpoints).filter { zoneOf(it) == zone }.forEachIndexed { n, endpoint ->
                    at(scenario.warmUp + start + SERIES_INTERVAL * n) { crash(endpoint) }
                }
            }
        }
        repeat((scenario.warmUp + DURATION).inWholeSeconds.toInt()) { second ->
            at(second.seconds) { guards.forEach { it.expire(time.now) } }
        }
        time.runAll()
        counts.maxCrashes = maxOf(counts.maxCrashes, crashesByHarmful.size)
        val fifth = crashesByHarmful.getOrNull(FIFTH) ?: return
        counts.maxLateArrivals = maxOf(counts.maxLateArrivals, harmfulArrivals.count { it > fifth + STABLE_WINDOW })
    }

    private fun sound(number: Int): Run {
        // Squaring makes some of the parts popular.
        val part =
            if (random.nextInt(3) ==
                0
            ) {
                SHARED
            } else {
                "part${(random.nextDouble().let { it * it } * PARTS).toInt()}"
            }
        return Run(random.nextInt(guards.size), traits(part, "content/$number"), isHarmful = false)
    }

    private fun harmful(number: Int) =
        Run(random.nextInt(guards.size), traits(SHARED, "bad", "content/bad$number"), isHarmful = true)

    private fun traits(vararg names: String) = names.mapTo(LinkedHashSet()) { RequestTrait(it) }

    private fun onArrival(run: Run) {
        if (guards[run.instance].rejection(run.traits) != null) {
            if (!run.isHarmful) counts.soundRejected++
            return
        }
        val up = (0 until scenario.endpoints).filter { time.now >= (downUntil[it] ?: time.now) }
        val inReach = up.filter { zoneOf(it) == zoneOf(run.instance) }
        val endpoint = inReach.randomOrNull() ?: return
        if (isUnreachable(run.instance, endpoint)) {
            onUnreachable(run, endpoint)
            return
        }
        if (run.isHarmful) harmfulArrivals += time.now
        val waiting = running.getOrPut(endpoint) { ArrayList() }
        waiting += run
        val start = starts[endpoint]
        time.after((BEGIN_MILLIS + random.nextInt(BEGIN_MILLIS)).milliseconds) {
            if (starts[endpoint] != start || run !in waiting) return@after
            val endsAfter = scenario.endsAfter
            if (!run.isHarmful) {
                onBegun(run)
                time.after(scenario.answerTime) { complete(endpoint, start, run) }
            } else if (endsAfter == null) {
                crashUnder(run, endpoint)
            } else {
                onBegun(run)
                time.after(endsAfter) { if (starts[endpoint] == start && run in waiting) crashUnder(run, endpoint) }
            }
        }
    }

    private fun crashUnder(
        run: Run,
        endpoint: Int,
    ) {
        check(run.isHarmful)
        crashesByHarmful += time.now
        crash(endpoint)
    }

    private fun onBegun(run: Run) {
        run.isBegun = true
        val suspected = guards[run.instance].onAnswered(time.now, run.traits)
        if (suspected.isNotEmpty()) send(run.instance, CrashNews(answered = suspected))
    }

    private fun complete(
        endpoint: Int,
        start: Long?,
        run: Run,
    ) {
        if (starts[endpoint] != start || running[endpoint]?.remove(run) != true) return
        val proven = if (run.isResumed) setOf(run.content) else run.traits
        val suspected = guards[run.instance].onCompleted(time.now, proven)
        if (suspected.isNotEmpty()) send(run.instance, CrashNews(completed = suspected))
    }

    private fun <T> List<T>.randomOrNull(): T? = if (isEmpty()) null else get(random.nextInt(size))

    private fun crash(endpoint: Int) {
        if (time.now < (downUntil[endpoint] ?: Timestamp.ZERO)) return
        val process = EndpointProcess(EndpointId("e$endpoint"), starts[endpoint] ?: 0)
        starts[endpoint] = process.startedAt + 1
        downUntil[endpoint] = time.now + DOWN_TIME
        val lost = running.remove(endpoint).orEmpty()
        val crashedAt = time.now
        for ((instance, runs) in lost.groupBy { it.instance }) {
            val detectionTime = if (scenario.isSilent) REMOVAL_TIME else DETECTION_TIME
            if (scenario.isSilent) {
                time.after(
                    SILENCE_TIMEOUT * 2,
                ) { observeSilence(instance, process, runs, crashedAt) }
            }
            time.after(detectionTime) { observe(instance, process, runs, crashedAt) }
            time.after(if (scenario.isSilent) SILENCE_TIMEOUT else DETECTION_TIME) { sendAgain(runs) }
        }
    }

    private fun observe(
        instance: Int,
        process: EndpointProcess,
        runs: List<Run>,
        observedAt: Timestamp,
    ) {
        val requests = runs.filterNot { it.isBegun }.map { it.traits }
        val begun = runs.filter { it.isBegun }.map { it.traits }
        guards[instance].onCrash(observedAt, process, requests, begun)
        for (delay in listOf(Duration.ZERO, 250.milliseconds, 1.seconds)) {
            time.after(delay) {
                val isLasting = guards[instance].lastingNews(time.now).crashes.any { it.process == process }
                if (delay > Duration.ZERO && !isLasting) return@after
                val report = CrashReport.of(process, requests, begun, (time.now - observedAt).inWholeMilliseconds)
                send(instance, CrashNews(listOf(report), guards[instance].known(requests.flatten())))
            }
        }
        keep(instance)
    }

    private fun observeSilence(
        instance: Int,
        process: EndpointProcess,
        runs: List<Run>,
        observedAt: Timestamp,
    ) {
        val requests = runs.filterNot { it.isBegun }.map { it.traits }
        val begun = runs.filter { it.isBegun }.map { it.traits }
        guards[instance].onSilent(observedAt, process, requests, begun)
        val age = (time.now - observedAt).inWholeMilliseconds
        val report = CrashReport.of(process, requests, begun, age, isConfirmed = false)
        send(instance, CrashNews(listOf(report), guards[instance].known(requests.flatten())))
        keep(instance)
        guards.forEach { guard -> time.after(SILENCE_RETENTION) { guard.expire(time.now) } }
    }

    private fun isUnreachable(
        instance: Int,
        endpoint: Int,
    ): Boolean {
        val isCutNow = time.now.nanos / CUT_TIME.inWholeNanoseconds % 2 == 1L
        return isCutNow && (endpoint * UNREACHABLE_STRIDE + instance) % HUNDRED < scenario.cutShare * HUNDRED
    }

    /** A sound endpoint answers nothing while the link is cut, and takes no connection. */
    private fun onUnreachable(
        run: Run,
        endpoint: Int,
    ) {
        val process = EndpointProcess(EndpointId("e$endpoint"), starts[endpoint] ?: 0)
        val sentAt = time.now
        time.after(SILENCE_TIMEOUT) { sendAgain(listOf(run)) }
        time.after(SILENCE_TIMEOUT * 2) { observeSilence(run.instance, process, listOf(run), sentAt + SILENCE_TIMEOUT) }
    }

    /** Streams that have begun are resumed as often as needed. */
    private fun sendAgain(runs: List<Run>) =
        runs.filter { it.attempt < MAX_ATTEMPTS || it.isBegun }.forEach {
            val next = Run(it.instance, it.traits, it.isHarmful, it.attempt + 1)
            next.isResumed = it.isResumed || it.isBegun
            onArrival(next)
        }

    private fun send(
        from: Int,
        news: CrashNews,
    ) {
        for (to in guards.indices) {
            if (to == from || random.nextDouble() < scenario.lossShare || isCut(from, to)) continue
            time.after((1 + random.nextInt(MAX_TRANSIT_MILLIS)).milliseconds) { deliver(to, news) }
        }
    }

    private fun deliver(
        to: Int,
        news: CrashNews,
    ) {
        val answer = guards[to].merge(time.now, news)
        if (answer != CrashNews()) send(to, answer)
        if (news.crashes.isNotEmpty()) keep(to)
    }

    /** Writes what must last to the store, which all instances read a while later. */
    private fun keep(instance: Int) {
        if (scenario.isStoreDown) return
        val news = guards[instance].lastingNews(time.now)
        if (news.crashes.all(::isStored)) return
        stored[instance] = time.now to news
        time.after(STORE_DELAY) {
            guards.indices.filter { it != instance }.forEach { reader ->
                val age = STORE_DELAY.inWholeMilliseconds
                val aged = news.crashes.map { it.copy(ageMillis = it.ageMillis + age) }
                guards[reader].merge(time.now, news.copy(crashes = aged))
                keep(reader)
            }
        }
    }

    private fun isStored(report: CrashReport): Boolean {
        val inStore = stored.values.flatMap { (_, news) -> news.crashes.filter { it.process == report.process } }
        return inStore.any { it.isConfirmed || !report.isConfirmed } &&
            inStore.flatMapTo(HashSet()) { it.unanswered }.containsAll(report.unanswered) &&
            inStore.flatMapTo(HashSet()) { it.begun }.containsAll(report.begun) &&
            inStore.flatMapTo(HashSet()) { it.begunRequests }.containsAll(report.begunRequests)
    }

    private fun isCut(
        from: Int,
        to: Int,
    ) = scenario.isZoneCut && (zoneOf(from) == 0) != (zoneOf(to) == 0)

    private fun zoneOf(index: Int): Int = index % ZONES

    private fun at(
        delay: Duration,
        run: () -> Unit,
    ) = time.at(Timestamp.ZERO + delay, run)

    private fun randomUntil(limit: Duration): Duration = random.nextInt(limit.inWholeMilliseconds.toInt()).milliseconds

    private companion object {
        const val SHARED = "shared"
        const val ZONES = 3
        const val PARTS = 60
        const val HARMFUL_REQUESTS = 90
        const val MAX_ATTEMPTS = 2
        const val FIFTH = 4

        /** The least time from the arrival of a request to the beginning of its answer, and half of the longest. */
        const val BEGIN_MILLIS = 60
        const val MAX_TRANSIT_MILLIS = 4
        val DURATION = 30.seconds
        val SERIES_STARTS = listOf(8.seconds, 20.seconds)
        val SERIES_INTERVAL = 150.milliseconds
        val DOWN_TIME = 3.seconds
        val DETECTION_TIME = 27.milliseconds

        /** From the silent end of an endpoint until instances know that its registration was removed. */
        val REMOVAL_TIME = 4.seconds
        val SILENCE_TIMEOUT = 400.milliseconds
        val SILENCE_RETENTION = 7.seconds
        val CUT_TIME = 5.seconds
        const val UNREACHABLE_STRIDE = 37
        const val HUNDRED = 100
        val STORE_DELAY = 900.milliseconds
        val STABLE_WINDOW = 3.seconds
    }
}
