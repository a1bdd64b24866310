package oriolespindle.testkit.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import oriolespindle.testkit.engine.expectedToken
import oriolespindle.testkit.http.TestClient
import oriolespindle.testkit.http.TestReply
import oriolespindle.testkit.http.wireJson
import kotlin.uuid.ExperimentalUuidApi
import kotlin.uuid.Uuid

private const val PROMPT = "Which parts are low in stock?"
private const val MAX_TOKENS = 8

/** Sends two calls through a local fleet and prints what came back. */
internal class Demonstration(
    private val fleet: LocalFleet,
) {
    /** Returns whether the completion was whole and the call had exactly one effect. */
    fun run(): Boolean {
        val completion = complete()
        val call = deductStock()
        return completion && call
    }

    private fun complete(): Boolean {
        val router = fleet.routers[0]
        val body = CompletionBody(DEMO_MODEL, PROMPT, MAX_TOKENS)
        val reply =
            TestClient(router.address).call("POST", "/v1/completions", wireJson.encodeToString(body), authorization())
        println("Streamed completion through ${router.name}:")
        print(reply)
        fleet.engines.forEach { engine ->
            engine.runs().forEach {
                println("  ${engine.name} ran layers [${it.first}, ${it.end}) for positions ${it.positions}")
            }
        }
        val tokens = reply.lines.mapNotNull(::tokenOf)
        val whole = tokens == List(MAX_TOKENS) { expectedToken(DEMO_MODEL, PROMPT, it) }
        println(if (whole) "  The answer is whole." else "  The answer is NOT the expected one: $tokens")
        return whole
    }

    @OptIn(ExperimentalUuidApi::class)
    private fun deductStock(): Boolean {
        val router = fleet.routers[1]
        val key = Uuid.generateV7().toString()
        val reply =
            TestClient(router.address).call(
                "POST",
                "/services/$DEMO_SERVICE/stock/deduct",
                """{"part":"p-100","count":1}""",
                authorization() + ("Idempotency-Key" to key),
            )
        println("Non-idempotent call through ${router.name} with the key $key:")
        print(reply)
        val effects = fleet.services.associate { it.name to (it.effects().byKey[key] ?: 0) }
        println("  Effects by endpoint: $effects")
        return reply.status == 200 && effects.values.sum() == 1
    }

    private fun print(reply: TestReply) {
        println("  status ${reply.status}, outcome ${reply.headers["oriolespindle-outcome"]}")
        reply.lines.filter { it.isNotBlank() }.forEach { println("  $it") }
    }

    private fun authorization() = mapOf("Authorization" to "Bearer $DEMO_KEY")
}

@Serializable
private data class CompletionBody(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val stream: Boolean = true,
)

@Serializable
private data class TokenEvent(
    val position: Int? = null,
    val token: String? = null,
)

private fun tokenOf(line: String): String? {
    val data = line.removePrefix("data: ")
    if (data == line || !data.startsWith("{")) return null
    return wireJson.decodeFromString<TokenEvent>(data).token
}
