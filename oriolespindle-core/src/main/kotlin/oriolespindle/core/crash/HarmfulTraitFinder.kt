package oriolespindle.core.crash

import oriolespindle.core.time.Timestamp
import java.util.IdentityHashMap

/** Decides by the ends in [history] which traits requests are rejected for; see [HarmfulRequestGuard]. */
internal class HarmfulTraitFinder(
    private val history: CrashHistory,
    private val settings: HarmfulRequestSettings,
) {
    /** Numbers the requests by identity, to find traits that were in the same ones; the prompts may be long. */
    private val requestNumbers = IdentityHashMap<Set<RequestTrait>, Int>()

    /** Returns the sets of traits such that a request with all traits of one is rejected. */
    fun find(): Set<Set<RequestTrait>> {
        requestNumbers.clear()
        val repeated = history.byUnansweredTrait.traits.filter { hasEnoughCrashes(it) }
        val (answered, unanswered) = repeated.partition(history::wasAnswered)
        val found = LinkedHashSet(unansweredTraits(unanswered))
        found += begunParts(found)
        found += contents(found).map(::setOf)
        found += answeredTraits(answered, found).map(::setOf)
        return found.filterNotTo(LinkedHashSet()) { set -> found.any { it != set && set.containsAll(it) } }
    }

    /** Returns the number of [crashes], of which those that were simultaneous count as one. */
    fun countMoments(crashes: Collection<RecordedCrash>): Int {
        var count = 0
        var moment: Timestamp? = null
        for (at in crashes.map { it.at }.sorted()) {
            val start = moment
            if (start != null && at - start < settings.simultaneousWindow) continue
            moment = at
            count++
        }
        return count
    }

    private fun hasEnoughCrashes(trait: RequestTrait): Boolean =
        history.byUnansweredTrait[trait].size >= settings.maxCrashes

    /** Returns what requests have in common of which none was begun to be answered, judged by one of [traits] each. */
    private fun unansweredTraits(traits: List<RequestTrait>): List<Set<RequestTrait>> {
        val candidates =
            traits
                .distinctBy { occurrences(history.suspectedAt(it), unansweredRequests(it)) }
                .map(::candidateOfUnanswered)
                .filter { it.count >= settings.maxCrashes }
        val specific = candidates.filterNot { candidate -> candidates.any { explainsAsWell(it, candidate) } }
        return specific.map { it.common }
    }

    private fun candidateOfUnanswered(trait: RequestTrait): CrashCandidate {
        val crashes = history.suspectedAt(trait)
        val common = traitsInAll(unansweredRequests(trait))
        return CrashCandidate(crashes, countMoments(crashes), common.filterNotTo(LinkedHashSet(), history::wasAnswered))
    }

    private fun unansweredRequests(trait: RequestTrait): List<Set<RequestTrait>> =
        history.suspectedAt(trait).flatMap { history.byUnansweredTrait.requests(trait, it) }

    /** Returns a key that is equal for traits that were in the same [requests] at the same [crashes]. */
    private fun occurrences(
        crashes: List<RecordedCrash>,
        requests: List<Set<RequestTrait>>,
    ): Any = crashes to requests.map { requestNumbers.getOrPut(it) { requestNumbers.size } }

    /** Whether [other] explains the same ends as [candidate] and would have fewer requests rejected. */
    private fun explainsAsWell(
        other: CrashCandidate,
        candidate: CrashCandidate,
    ): Boolean =
        other.common.size > candidate.common.size && other.common.containsAll(candidate.common) &&
            other.crashes.containsAll(candidate.crashes)

    /** Returns what requests have in common under which too many endpoints ended after they had begun to answer. */
    private fun begunParts(found: Set<Set<RequestTrait>>): Set<Set<RequestTrait>> {
        // The rejection of one content does not explain what several contents have in common.
        val explained = found.filterNotTo(LinkedHashSet()) { set -> set.any { it.isContent } }
        val rejected = LinkedHashSet<Set<RequestTrait>>()
        val candidates =
            history.byBegunPart.traits
                .filter { hasEnoughCrashesOfBegun(it) }
                .distinctBy { occurrences(begunCrashes(it), begunRequests(it)) to history.wasCompleted(it) }
                .map(::candidateOfBegun)
                .filter { it.count >= maxCrashes(it) }
                .sortedWith(
                    compareBy({ it.isKnownComplete }, { -it.common.size }, { -it.count }, { it.requestsPerCrash }),
                )
        for (candidate in candidates) {
            val unexplained = candidate.crashes.filterNot { it.isExplainedBy(explained + rejected) }
            if (countMoments(unexplained) >= maxCrashes(candidate)) rejected += candidate.common
        }
        return rejected
    }

    private fun hasEnoughCrashesOfBegun(part: RequestTrait): Boolean =
        history.byBegunPart[part].size + history.byUnansweredTrait[part].size >= settings.maxCrashesOfBegun

    private fun maxCrashes(candidate: CrashCandidate): Int =
        if (candidate.isKnownComplete) settings.maxCrashesOfCompleted else settings.maxCrashesOfBegun

    /** Returns [part] as a candidate; one of a single request counts no ends, since its content may be rejected. */
    private fun candidateOfBegun(part: RequestTrait): CrashCandidate {
        val isKnownComplete = history.wasCompleted(part)
        val crashes = begunCrashes(part)
        val requests = begunRequests(part)
        val common =
            traitsInAll(requests)
                .filterTo(LinkedHashSet()) { it.isContent || history.incompleteAt(it).containsAll(crashes) }
        return CrashCandidate(
            crashes = crashes,
            count = if (common.any { it.isContent }) 0 else countMoments(crashes),
            common = common,
            requestsPerCrash = requests.size / maxOf(crashes.size, 1).toDouble(),
            isKnownComplete = isKnownComplete,
        )
    }

    private fun begunCrashes(part: RequestTrait): List<RecordedCrash> {
        val isKnownComplete = history.wasCompleted(part)
        return history.incompleteAt(part).filter { it.isConfirmed || !isKnownComplete }
    }

    private fun begunRequests(part: RequestTrait): List<Set<RequestTrait>> =
        begunCrashes(part).flatMap { history.incompleteRequests(part, it) }

    /** Returns the contents that were never answered completely, with too many ends that [found] does not explain. */
    private fun contents(found: Set<Set<RequestTrait>>): List<RequestTrait> {
        val unexplained = unexplained(found)
        return history.byContent.traits.filter { content ->
            history.byContent[content].size >= settings.maxCrashesOfBegun && !history.wasCompleted(content) &&
                countConfirmed(history.byContent[content], unexplained) >= settings.maxCrashesOfBegun
        }
    }

    /** Returns those of [traits], of which requests were answered, with too many ends that [found] does not explain. */
    private fun answeredTraits(
        traits: List<RequestTrait>,
        found: Set<Set<RequestTrait>>,
    ): List<RequestTrait> {
        val unexplained = unexplained(found)
        return traits.filter {
            countConfirmed(history.suspectedAt(it), unexplained) >= settings.maxCrashesOfKnown
        }
    }

    private fun unexplained(found: Set<Set<RequestTrait>>): Set<RecordedCrash> =
        history.crashes.filterNotTo(HashSet()) { it.isExplainedBy(found) }

    private fun countConfirmed(
        crashes: Collection<RecordedCrash>,
        unexplained: Set<RecordedCrash>,
    ): Int = countMoments(crashes.filter { it.isConfirmed && it in unexplained })

    private fun traitsInAll(requests: List<Set<RequestTrait>>): Set<RequestTrait> =
        requests.reduceOrNull { common, request -> common.intersect(request) }.orEmpty()
}
