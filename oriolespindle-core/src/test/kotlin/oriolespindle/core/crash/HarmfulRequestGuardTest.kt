package oriolespindle.core.crash

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class HarmfulRequestGuardTest {
    private val guard = HarmfulRequestGuard()
    private val at = { millis: Int -> Timestamp.ZERO + millis.milliseconds }

    private fun traits(vararg names: String): Set<RequestTrait> = names.mapTo(LinkedHashSet()) { RequestTrait(it) }

    private fun process(number: Int) = EndpointProcess(EndpointId("e$number"), startedAt = 1)

    private fun HarmfulRequestGuard.crash(
        number: Int,
        vararg requests: Set<RequestTrait>,
        millis: Int = number * 200,
    ) = onCrash(at(millis), process(number), requests.toList())

    @Test
    fun `rejects requests with a part under which three endpoints ended, whatever else they hold`() {
        guard.crash(1, traits("a", "bad", "c1"), traits("x", "y"))
        guard.crash(2, traits("b", "bad", "c2"), traits("y", "z"))
        expectThat(guard.rejection(traits("b", "bad", "c3"))).isNull()
        guard.crash(3, traits("a", "bad", "c3"))

        expectThat(guard.rejections).isEqualTo(setOf(traits("bad")))
        expectThat(guard.rejection(traits("q", "bad", "c4"))).isEqualTo(traits("bad"))
        expectThat(guard.rejection(traits("a", "b", "y"))).isNull()
        expectThat(guard.evidence(traits("bad"))).containsExactly(process(1), process(2), process(3))
    }

    @Test
    fun `does not reject what sound requests share with the harmful ones`() {
        repeat(3) { guard.crash(it, traits("shared", "bad", "c$it")) }

        expectThat(guard.rejection(traits("shared", "d"))).isNull()
        expectThat(guard.rejection(traits("shared", "bad", "d"))).isNotNull()
        // The next end without the shared part tells the two apart.
        guard.crash(4, traits("other", "bad", "c4"))
        expectThat(guard.rejections).isEqualTo(setOf(traits("bad")))
    }

    @Test
    fun `does not reject a part whose requests are answered elsewhere`() {
        repeat(8) {
            guard.crash(it, traits("popular", "c$it"))
            guard.onAnswered(at(it * 200 + 100), traits("popular", "d$it"))
        }
        expectThat(guard.rejections).isEmpty()
    }

    @Test
    fun `needs more evidence against a part whose requests were answered before`() {
        guard.onAnswered(at(0), traits("popular"))
        (1..4).forEach { guard.crash(it, traits("popular", "c$it")) }
        expectThat(guard.rejections).isEmpty()
        guard.crash(5, traits("popular", "c5"))
        expectThat(guard.rejections).isEqualTo(setOf(traits("popular")))
    }

    @Test
    fun `does not hold ends that another rejection explains against a popular part`() {
        guard.onAnswered(at(0), traits("popular"))
        (1..9).forEach { guard.crash(it, traits("popular", "bad", "c$it"), traits("popular", "d$it")) }
        expectThat(guard.rejections).isEqualTo(setOf(traits("bad")))
    }

    @Test
    fun `counts ends at the same moment as one`() {
        (1..7).forEach { guard.crash(it, traits("part", "c$it"), millis = 100 + it) }
        expectThat(guard.rejections).isEmpty()
    }

    @Test
    fun `rejects a request that is repeated, and not others with its parts`() {
        guard.onAnswered(at(0), traits("part"))
        (1..3).forEach { guard.crash(it, traits("part", "content/1")) }
        expectThat(guard.rejections).isEqualTo(setOf(traits("content/1")))
    }

    @Test
    fun `rejects two harmful parts`() {
        (1..6).forEach { guard.crash(it, traits("bad${it % 2}", "c$it")) }
        expectThat(guard.rejections).isEqualTo(setOf(traits("bad0"), traits("bad1")))
    }

    @Test
    fun `lifts a rejection when a request with its traits is answered after all`() {
        (1..3).forEach { guard.crash(it, traits("part", "c$it")) }
        expectThat(guard.onAnswered(at(900), traits("part", "d"))).isEqualTo(traits("part"))
        expectThat(guard.rejections).isEmpty()
    }

    @Test
    fun `rejects a content whose answers were begun at five ends and never completed`() {
        val content = traits("content/1").single()
        (1..5).forEach {
            expectThat(guard.rejections).isEmpty()
            guard.onAnswered(at(it * 200 - 50), traits("part", "content/1"))
            guard.onCrash(at(it * 200), process(it), emptyList(), begun = listOf(setOf(content)))
        }
        expectThat(guard.rejections).isEqualTo(setOf(traits("content/1")))
        expectThat(guard.lastingNews(at(1_000)).crashes.map { it.begun }).isEqualTo(List(5) { setOf(content) })
        expectThat(guard.onCompleted(at(1_100), setOf(content))).isEqualTo(setOf(content))
        expectThat(guard.rejections).isEmpty()
    }

    private fun HarmfulRequestGuard.lateCrash(
        number: Int,
        vararg begun: Set<RequestTrait>,
    ) = onCrash(at(number * 200), process(number), emptyList(), begun.toList())

    @Test
    fun `rejects a part whose answers were begun at five ends and never completed`() {
        guard.onCompleted(at(0), traits("popular"))
        (1..5).forEach {
            expectThat(guard.rejections).isEmpty()
            guard.onAnswered(at(it * 200 - 50), traits("popular", "bad", "content/$it"))
            guard.lateCrash(it, traits("popular", "bad", "content/$it"), traits("popular", "content/sound$it"))
            guard.onCompleted(at(it * 200 + 50), traits("popular", "content/other$it"))
        }
        expectThat(guard.rejections).isEqualTo(setOf(traits("bad")))
        expectThat(guard.onCompleted(at(1_100), traits("bad"))).isEqualTo(traits("bad"))
        expectThat(guard.rejections).isEmpty()
    }

    @Test
    fun `counts ends before and after the first events of answers together`() {
        guard.onAnswered(at(0), traits("bad"))
        (1..5).forEach {
            val request = traits("bad", "content/$it")
            if (it % 2 == 0) guard.crash(it, request) else guard.lateCrash(it, request)
        }
        expectThat(guard.rejections).isEqualTo(setOf(traits("bad")))
    }

    @Test
    fun `needs more late ends against a part of which answers were completed before`() {
        guard.onCompleted(at(0), traits("part"))
        (1..7).forEach { guard.lateCrash(it, traits("part", "content/$it")) }
        expectThat(guard.rejections).isEmpty()
        guard.lateCrash(8, traits("part", "content/8"))
        expectThat(guard.rejections).isEqualTo(setOf(traits("part")))
    }

    @Test
    fun `a completion after the ends clears a part, and one from before does not`() {
        guard.onCompleted(at(900), traits("part"))
        (1..12).forEach { guard.lateCrash(it, traits("part", "content/$it")) }
        expectThat(guard.rejections).isEqualTo(setOf(traits("part")))
        guard.merge(at(2_500), CrashNews(completed = traits("part")))
        expectThat(guard.rejections).isEmpty()
        guard.lateCrash(11, traits("part", "content/13"))
        expectThat(guard.rejections).isEmpty()
    }

    @Test
    fun `rejects the content alone if all late ends are under one request`() {
        (1..6).forEach { guard.lateCrash(it, traits("part", "content/1")) }
        expectThat(guard.rejections).isEqualTo(setOf(traits("content/1")))
    }

    @Test
    fun `does not blame a new popular part for late ends under what harmful requests have in common`() {
        (1..6).forEach { guard.lateCrash(it, traits("new", "bad", "content/$it"), traits("new", "content/sound$it")) }
        expectThat(guard.rejections).isEqualTo(setOf(traits("new", "bad")))
    }

    @Test
    fun `instances tell each other what was completed after an end, and late ends last`() {
        (1..5).forEach { guard.lateCrash(it, traits("popular", "bad", "content/$it")) }
        val news = guard.lastingNews(at(1_000))
        val other = HarmfulRequestGuard()
        other.onCompleted(at(100), traits("popular"))
        expectThat(other.merge(at(2_000), news).completed).isEmpty()
        expectThat(other.rejections).isEqualTo(setOf(traits("popular", "bad")))
        other.onCompleted(at(2_100), traits("popular"))
        expectThat(other.rejections).isEqualTo(setOf(traits("bad")))
        expectThat(other.merge(at(2_200), news.copy(known = emptySet())).completed).isEqualTo(traits("popular"))
    }

    @Test
    fun `reads reports of instances that tell only the contents of begun requests`() {
        val reports = (1..9).map { CrashReport(process(it), emptyList(), 2_000L - it * 200, traits("content/$it")) }
        guard.merge(at(2_000), CrashNews(reports))
        expectThat(guard.rejections).isEmpty()
        guard.merge(at(2_000), CrashNews(reports.map { it.copy(begun = traits("content/1")) }))
        expectThat(guard.rejections).isEqualTo(setOf(traits("content/1")))
    }

    @Test
    fun `does not hold ends that another rejection explains against a stream that was begun at them`() {
        val begun = listOf(traits("content/stream"))
        (1..9).forEach { guard.onCrash(at(it * 200), process(it), listOf(traits("part", "content/bad")), begun) }
        expectThat(guard.rejections).isEqualTo(setOf(traits("part", "content/bad")))
    }

    @Test
    fun `rejects an unknown part under which three endpoints fell silent, until the silences are over`() {
        (1..3).forEach { guard.onSilent(at(it * 200), process(it), listOf(traits("bad", "c$it"))) }
        expectThat(guard.rejections).isEqualTo(setOf(traits("bad")))
        expectThat(guard.rejectedFor(at(600), traits("bad"))).isEqualTo(6.seconds)
        expectThat(guard.lastingNews(at(700)).crashes.map { it.isConfirmed }).isEqualTo(List(3) { false })
        guard.onSignOfLife(process(1))
        expectThat(guard.rejections).isEmpty()
        guard.crash(4, traits("bad", "c4"))
        expectThat(guard.rejections).isEqualTo(setOf(traits("bad")))
        guard.expire(at(7_000))
        expectThat(guard.rejections).isEmpty()
    }

    @Test
    fun `a silence that is confirmed stays`() {
        (1..3).forEach { guard.onSilent(at(it * 200), process(it), listOf(traits("bad", "c$it"))) }
        (1..3).forEach { guard.crash(it, traits("bad", "c$it"), millis = 4_000) }
        guard.onSignOfLife(process(1))
        guard.expire(at(9_000))
        expectThat(guard.rejections).isEqualTo(setOf(traits("bad")))
    }

    @Test
    fun `does not hold silences against a part whose requests were answered before`() {
        guard.onAnswered(at(0), traits("popular"))
        (1..9).forEach { guard.onSilent(at(it * 200), process(it), listOf(traits("popular", "c$it"))) }
        expectThat(guard.rejections).isEmpty()
    }

    @Test
    fun `knows from others that a content was completed`() {
        guard.merge(at(0), CrashNews(completed = traits("content/1")))
        (1..9).forEach { guard.onCrash(at(it * 200), process(it), emptyList(), listOf(traits("content/1"))) }
        expectThat(guard.rejections).isEmpty()
    }

    @Test
    fun `lifts a rejection when its evidence is deleted or has expired`() {
        (1..3).forEach { guard.crash(it, traits("part", "c$it")) }
        expectThat(guard.rejectedFor(at(600), traits("part"))).isEqualTo(30.minutes)
        guard.forget(listOf(process(2)))
        expectThat(guard.rejections).isEmpty()
        guard.crash(4, traits("part", "c4"))
        expectThat(guard.rejections).isEqualTo(setOf(traits("part")))
        guard.expire(at(800) + 31.minutes)
        expectThat(guard.rejections).isEmpty()
        expectThat(guard.isIdle).isEqualTo(true)
    }

    @Test
    fun `a caller that invents parts does not push a rejection out`() {
        (1..3).forEach { guard.crash(it, traits("bad", "c$it")) }
        (10..2_000).forEach { number ->
            guard.crash(number, *Array(20) { traits("invented/$number/$it", "content/$number/$it") })
            guard.onAnswered(at(number * 200), traits("answered/$number"))
        }
        expectThat(guard.rejections).isEqualTo(setOf(traits("bad")))
        expectThat(guard.lastingNews(at(400_000)).crashes.size).isLessThanOrEqualTo(3)
    }

    @Test
    fun `instances that get the news in another order, in part twice, decide the same`() {
        val reports = (1..4).map { CrashReport(process(it), listOf(traits("bad", "c$it"), traits("ok", "d$it"))) }
        val news = reports.mapIndexed { i, it -> CrashNews(listOf(it.copy(ageMillis = 1_000L - i * 200))) }
        (1L..50L).forEach { seed ->
            val other = HarmfulRequestGuard()
            val random = SplittableRandom(seed)
            val order = (news + news.filter { random.nextBoolean() }).sortedBy { random.nextInt() }
            order.forEach { other.merge(at(1_000), it) }
            other.merge(at(1_001), CrashNews(answered = traits("ok")))
            expectThat(other.rejections).isEqualTo(setOf(traits("bad")))
        }
    }

    @Test
    fun `tells which suspected parts are known to be answered, and learns it from others`() {
        guard.onAnswered(at(0), traits("popular"))
        val news = CrashNews(listOf(CrashReport(process(1), listOf(traits("popular", "bad")))))
        expectThat(guard.merge(at(100), news).known).isEqualTo(traits("popular"))
        expectThat(guard.merge(at(100), news.copy(known = traits("popular"))).known).isEmpty()

        val other = HarmfulRequestGuard()
        other.merge(at(100), CrashNews(known = traits("popular")))
        (1..4).forEach { other.crash(it, traits("popular", "c$it")) }
        expectThat(other.rejections).isEmpty()
    }

    @Test
    fun `an instance that starts later learns the rejection from the lasting news`() {
        guard.crash(1, traits("bad", "c1"), traits("ok", "d1"))
        expectThat(guard.lastingNews(at(300)).crashes).isEmpty()
        (2..3).forEach { guard.crash(it, traits("bad", "c$it")) }
        val late = HarmfulRequestGuard()
        late.merge(at(90_000), guard.lastingNews(at(1_000)))
        expectThat(late.rejections).isEqualTo(setOf(traits("bad")))
    }

    @Test
    fun `a fleet stops a harmful part soon and rejects no sound request`() {
        val scenarios =
            listOf(
                HarmfulPartScenario("9 instances"),
                HarmfulPartScenario("95 instances", instances = 95, requestsPerSecond = 400),
                HarmfulPartScenario("a third of the datagrams lost", lossShare = 0.33),
                HarmfulPartScenario("a zone cut off from the others", isZoneCut = true),
                HarmfulPartScenario("other endpoints end as well", otherCrashInterval = 2.seconds),
                HarmfulPartScenario("the parts of the sound requests are new, too", warmUp = Duration.ZERO),
                HarmfulPartScenario("answers take two seconds", answerTime = 2.seconds),
                HarmfulPartScenario("endpoints end often", answerTime = 2.seconds, otherCrashInterval = 1.seconds),
            )
        for (counts in scenarios.map(::simulate)) {
            expectThat(counts.maxLateArrivals).isLessThanOrEqualTo(MAX_LATE_ARRIVALS)
            expectThat(counts.soundRejected * MAX_SOUND_REJECTED_ONE_IN).isLessThanOrEqualTo(counts.sound)
        }
    }

    @Test
    fun `a fleet stops a harmful part under which hosts fall silent, and rejects no sound request`() {
        val scenarios =
            listOf(
                HarmfulPartScenario("silent ends", isSilent = true),
                HarmfulPartScenario("many silent ends", isSilent = true, otherCrashInterval = 2.seconds),
                HarmfulPartScenario("silent ends, a zone cut off", isSilent = true, isZoneCut = true),
                HarmfulPartScenario("silent ends, sound endpoints out of reach", isSilent = true, cutShare = 0.3),
            )
        for (counts in scenarios.map(::simulate)) {
            expectThat(counts.maxLateArrivals).isLessThanOrEqualTo(MAX_LATE_ARRIVALS)
            expectThat(counts.soundRejected * MAX_SOUND_REJECTED_ONE_IN).isLessThanOrEqualTo(counts.sound)
        }
    }

    @Test
    fun `a fleet stops a part under which endpoints end late in an answer, and rejects no sound request`() {
        val late = HarmfulPartScenario("ends late in an answer", endsAfter = 60.milliseconds, answerTime = 2.seconds)
        val scenarios =
            listOf(
                late,
                late.copy(name = "ends two seconds into an answer", endsAfter = 2.seconds, answerTime = 3.seconds),
                late.copy(name = "late ends, 24 instances", instances = 24, requestsPerSecond = 150),
                late.copy(name = "late ends, a third of the datagrams lost", lossShare = 0.33),
                late.copy(name = "late ends, a zone cut off", isZoneCut = true),
                late.copy(name = "late ends, others as well", otherCrashInterval = 2.seconds),
                late.copy(name = "late ends, all parts new", warmUp = Duration.ZERO),
                late.copy(name = "late ends, series of others", hasSeriesOfEnds = true),
                late.copy(name = "late silent ends", isSilent = true),
            )
        for (counts in scenarios.map(::simulate)) {
            expectThat(counts.maxLateArrivals).isLessThanOrEqualTo(MAX_LATE_ARRIVALS)
            expectThat(counts.soundRejected * MAX_SOUND_REJECTED_ONE_IN).isLessThanOrEqualTo(counts.sound)
        }
    }

    @Test
    fun `a harmful part goes on ending endpoints if instances do not share what they observe`() {
        val alone = HarmfulPartScenario("without exchange", instances = 30, lossShare = 1.0, isStoreDown = true)
        expectThat(simulate(alone).maxLateArrivals).isGreaterThan(MAX_LATE_ARRIVALS)
    }

    private fun simulate(scenario: HarmfulPartScenario): HarmfulPartCounts {
        val counts = HarmfulPartCounts()
        (1L..SEEDS).forEach { HarmfulPartSimulation(it, scenario, counts).run() }
        println("harmful part: ${scenario.name}, $SEEDS seeds: $counts")
        return counts
    }

    private companion object {
        const val SEEDS = 8L

        /** The platform's limit for arrivals later than its `stable_window_ms` after the fifth end. */
        const val MAX_LATE_ARRIVALS = 3

        /** The platform's limit for sound requests that are denied. */
        const val MAX_SOUND_REJECTED_ONE_IN = 500
    }
}
