package oriolespindle.core.crash

/** Finds the recorded ends of endpoints that concern a trait, and the requests with it at each of them. */
internal class CrashIndex {
    private val requestsByTrait = HashMap<RequestTrait, LinkedHashMap<RecordedCrash, MutableList<Set<RequestTrait>>>>()

    val traits: Set<RequestTrait> get() = requestsByTrait.keys

    operator fun contains(trait: RequestTrait): Boolean = trait in requestsByTrait

    operator fun get(trait: RequestTrait): Set<RecordedCrash> = requestsByTrait[trait]?.keys.orEmpty()

    /** Returns the requests with [trait] at [crash]. */
    fun requests(
        trait: RequestTrait,
        crash: RecordedCrash,
    ): List<Set<RequestTrait>> = requestsByTrait[trait]?.get(crash).orEmpty()

    /** Adds that [request], which has [trait], was in progress at [crash]. */
    fun add(
        trait: RequestTrait,
        crash: RecordedCrash,
        request: Set<RequestTrait>,
    ) {
        requestsByTrait.getOrPut(trait) { LinkedHashMap() }.getOrPut(crash) { ArrayList(1) } += request
    }

    /** Removes [trait] and returns its ends. */
    fun remove(trait: RequestTrait): Set<RecordedCrash> = requestsByTrait.remove(trait)?.keys.orEmpty()

    /** Removes the ends that do not match [predicate]. */
    fun retain(predicate: (RecordedCrash) -> Boolean) {
        requestsByTrait.values.removeIf { crashes ->
            crashes.keys.removeIf { !predicate(it) }
            crashes.isEmpty()
        }
    }
}
