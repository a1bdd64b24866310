package oriolespindle.core.crash

/** Finds the recorded ends of endpoints that concern a trait. */
internal class CrashIndex {
    private val crashesByTrait = HashMap<RequestTrait, LinkedHashSet<RecordedCrash>>()

    val traits: Set<RequestTrait> get() = crashesByTrait.keys

    operator fun contains(trait: RequestTrait): Boolean = trait in crashesByTrait

    operator fun get(trait: RequestTrait): Set<RecordedCrash> = crashesByTrait[trait].orEmpty()

    fun add(
        trait: RequestTrait,
        crash: RecordedCrash,
    ) {
        crashesByTrait.getOrPut(trait) { LinkedHashSet() } += crash
    }

    /** Removes [trait] and returns its ends. */
    fun remove(trait: RequestTrait): Set<RecordedCrash> = crashesByTrait.remove(trait).orEmpty()

    /** Removes the ends that do not match [predicate]. */
    fun retain(predicate: (RecordedCrash) -> Boolean) {
        crashesByTrait.values.removeIf { crashes ->
            crashes.removeIf { !predicate(it) }
            crashes.isEmpty()
        }
    }
}
