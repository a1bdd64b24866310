package oriolespindle.router.relay

import oriolespindle.core.crash.Fingerprint
import oriolespindle.core.crash.RequestTrait
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import oriolespindle.router.http.ServerExchange

/** What a request has in common with others; computed when it is first needed, since most requests never need it. */
internal class RequestTraits(
    private val exchange: ServerExchange,
    private val service: ServiceId,
    private val team: TeamId?,
    private val partsHeader: String?,
) {
    /** The parts of the prompt that other requests may share; empty for a request without a prompt. */
    val parts: Set<RequestTrait> by lazy(LazyThreadSafetyMode.NONE) {
        sharedParts(partsHeader).mapTo(LinkedHashSet()) { RequestTrait.ofPart(service, it) }
    }

    /** [parts] and the content, by which a repeated request is recognized. */
    val all: Set<RequestTrait> by lazy(LazyThreadSafetyMode.NONE) { parts + content }

    /** The whole content. */
    val content: RequestTrait by lazy(LazyThreadSafetyMode.NONE) { RequestTrait.ofContent(fingerprint()) }

    private fun fingerprint(): Fingerprint {
        val target = "$service ${exchange.method} ${exchange.uri}"
        return Fingerprint.of(team ?: NO_TEAM, target, exchange.body)
    }

    private companion object {
        val NO_TEAM = TeamId("")
    }
}

/** Returns the log fields for [traits], of which there may be hundreds: the first ones and their number. */
internal fun traitFields(traits: Collection<RequestTrait>): Array<Pair<String, Any?>> =
    arrayOf("traits" to traits.take(MAX_LOGGED_TRAITS), "count" to traits.size)

private const val MAX_LOGGED_TRAITS = 12

/**
 * Returns the ids of the parts of a prompt that other requests may share.
 *
 * [header] lists the parts in order, separated by commas, each as an id, a colon and a number of tokens. The last part
 * belongs to the request or its session alone. Their number is bounded by the size of the header only.
 */
internal fun sharedParts(header: String?): List<String> =
    header
        ?.split(',')
        ?.dropLast(1)
        ?.map { it.substringBefore(':').trim() }
        ?.filter { it.isNotEmpty() }
        .orEmpty()
