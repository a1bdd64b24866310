package oriolespindle.router.documentation

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import oriolespindle.router.administration.ObjectApi
import oriolespindle.testkit.fleet.FleetObject
import oriolespindle.testkit.fleet.ProcessFleet
import oriolespindle.testkit.http.TestClient
import oriolespindle.testkit.http.TestReply
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

/** Guards against wrong answers in the examples of docs/administration.md, and against missing examples. */
class AdministrationPageTest {
    @TempDir
    lateinit var folder: Path

    private val page = DocumentationPage("administration.md")
    private val examples = EXAMPLE.findAll(page.text).map(::PageExample).toList()

    @Test
    fun `an instance answers every example as shown on the page`() {
        withInstance { client ->
            val versions = HashMap<String, String>()
            val answers = examples.map { answer(client, it, versions) }
            var text = page.text
            examples.zip(answers).asReversed().forEach { (example, answer) ->
                text = text.replaceRange(example.answerRange, answer)
            }
            page.verify(text)
        }
    }

    @Test
    fun `every path and every kind of object has an example`() {
        val paths = examples.filterNot { "/v1/objects/" in it.path }.map { it.path.substringBefore("VERSION") }
        val writtenKinds = examples.filter { it.method == "PUT" }.map { it.path.split('/')[KIND_SEGMENT] }
        val methods = examples.filter { "/v1/objects/" in it.path }.map { it.method to it.path.count { c -> c == '/' } }

        expectThat(paths.toSet()).containsExactlyInAnyOrder(PATHS)
        expectThat(writtenKinds.toSet()).isEqualTo(ObjectApi.ADMINISTERED.mapTo(HashSet()) { it.code })
        expectThat(methods.toSet()).containsExactlyInAnyOrder("GET" to 3, "GET" to 4, "PUT" to 4, "DELETE" to 4)
    }

    private fun answer(
        client: TestClient,
        example: PageExample,
        versions: MutableMap<String, String>,
    ): String {
        val version = versions[example.path] ?: versions[NEWEST].orEmpty()
        val path = example.path.replace("VERSION", version)
        val headers = example.headers.mapValues { it.value.replace("VERSION", version) }
        val reply = client.call(example.method, path, example.body, headers)
        if (reply.status == 200 && example.method != "GET") recordVersion(client, example, reply, versions)
        return example.formatAnswer(reply)
    }

    /** Records the written version and waits until reads see it, as the cache lags behind the platform. */
    private fun recordVersion(
        client: TestClient,
        example: PageExample,
        reply: TestReply,
        versions: MutableMap<String, String>,
    ) {
        val version =
            Json
                .parseToJsonElement(reply.body)
                .jsonObject
                .getValue("version")
                .jsonPrimitive.content
        versions[example.path] = version
        versions[NEWEST] = version
        val rollout = "/v1/rollout/$version"
        while ("\"inForceEverywhere\":true" !in client.call("GET", rollout, headers = AUTHORIZATION).body) {
            Thread.sleep(POLL_MILLIS)
        }
    }

    private fun withInstance(block: (TestClient) -> Unit) {
        ProcessFleet(routerClassPath = System.getProperty("java.class.path")).use { fleet ->
            val platform = fleet.platform(listOf(FleetObject("service", "orders", "{}"), contract()))
            fleet.awaitReady()
            val token = Files.writeString(folder.resolve("token"), TOKEN)
            val router = fleet.router("r1", "z1", platform.address, listOf("--operator-token-file", "$token"))
            fleet.awaitReady()
            block(TestClient(router.administration))
        }
    }

    /** The contract of the page's first write, for another team; an instance is ready only with a contract. */
    private fun contract(): FleetObject {
        val first = examples.first { it.method == "PUT" && "/contract/" in it.path }
        return FleetObject("contract", "team-b", first.body.replace("team-a", "team-b"))
    }

    private class PageExample(
        match: MatchResult,
    ) {
        private val lines = match.groupValues[1].trim().lines()
        private val answer = match.groupValues[2]
        private val headerLines = lines.drop(1).takeWhile { it.isNotBlank() }
        val method = lines[0].substringBefore(' ')
        val path = lines[0].substringAfter(' ')
        val headers = headerLines.associate { it.substringBefore(": ") to it.substringAfter(": ") }
        val body = lines.drop(headerLines.size + 2).joinToString("\n")
        val answerRange = checkNotNull(match.groups[2]).range

        /** Formats the reply as on the page, where an answer that ends with `...` shows only some lines. */
        fun formatAnswer(reply: TestReply): String {
            val excerpt = answer.trim().lines().takeIf { it.last() == EXCERPT }
            val shown = excerpt?.drop(1)?.filter { it == EXCERPT || it in reply.lines } ?: reply.lines
            return (listOf("${reply.status}") + shown.map(::withPlaceholders)).joinToString("\n", postfix = "\n")
        }

        private fun withPlaceholders(line: String): String =
            line
                .replace(Regex("\"(version|revision)\":\\d+"), "\"$1\":VERSION")
                .replace(Regex("\"contentHash\":\"[0-9a-f]+\""), "\"contentHash\":\"HASH\"")
    }

    private companion object {
        const val TOKEN = "an-operators-token"
        const val NEWEST = "newest"
        const val EXCERPT = "..."
        const val KIND_SEGMENT = 3
        const val POLL_MILLIS = 50L
        val AUTHORIZATION = mapOf("Authorization" to "Bearer $TOKEN")
        val PATHS = listOf("/healthz", "/readyz", "/metrics", "/v1/status", "/v1/rollout/")
        val EXAMPLE = Regex("```request\n(.*?)```\n+```answer\n(.*?)```", RegexOption.DOT_MATCHES_ALL)
    }
}
