package oriolespindle.ctl

import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

/** Tests the requests that commands send and the exit codes that scripts rely on. */
class RootCommandTest {
    @TempDir
    lateinit var folder: Path

    private fun withStub(
        vararg replies: Pair<String, StubReply?>,
        block: (CtlRunner, AdministrationStub) -> Unit,
    ) {
        AdministrationStub(mapOf(*replies)).use { block(CtlRunner(it.address, folder), it) }
    }

    /** Returns the exit code of a command that replaces a contract when the write is answered by [reply]. */
    private fun exitCodeFor(reply: StubReply?): Int {
        var code = -1
        withStub(READ to stored(7), WRITE to reply) { ctl, _ ->
            code = ctl.run("contract", "apply", "-", input = sampleContract(weight = 2.0)).statusCode
        }
        return code
    }

    @Test
    fun `apply creates an absent contract only if it is still absent`() {
        withStub(WRITE to WRITTEN) { ctl, stub ->
            val result = ctl.run("contract", "apply", "-", input = sampleContract())

            expectThat(result.output).contains("contract/team-a created at version 9")
            expectThat(stub.requests.last()) {
                get { condition }.isEqualTo("If-None-Match: *")
                get { authorization }.isEqualTo("Bearer $TOKEN")
            }
        }
    }

    @Test
    fun `apply replaces exactly the version that it read`() {
        withStub(READ to stored(7), WRITE to WRITTEN) { ctl, stub ->
            ctl.run("contract", "apply", "-", input = sampleContract(weight = 2.0))

            expectThat(stub.requests.last().condition).isEqualTo("If-Match: 7")
        }
    }

    @Test
    fun `a dry run sends no write`() {
        withStub(READ to stored(7), WRITE to WRITTEN) { ctl, stub ->
            val result = ctl.run("contract", "apply", "--dry-run", "-", input = sampleContract(weight = 2.0))

            expectThat(result.output).contains("would replace version 7")
            expectThat(stub.requests.map { it.line }).containsExactly(READ)
        }
    }

    @Test
    fun `an invalid contract is refused before any request`() {
        withStub { ctl, stub ->
            val result = ctl.run("contract", "apply", "-", input = sampleContract(weight = -1.0))

            expectThat(result.statusCode).isEqualTo(ExitCode.REFUSED.code)
            expectThat(result.output).contains("weight")
            expectThat(stub.requests).isEmpty()
        }
    }

    @Test
    fun `a conflict shows the stored version`() {
        val current = stored(8, weight = 3.0).body
        val conflict = StubReply(412, """{"error":"the object is at another version","current":$current}""")
        withStub(READ to stored(7), WRITE to conflict) { ctl, _ ->
            val result = ctl.run("contract", "apply", "-", input = sampleContract(weight = 2.0))

            expectThat(result.statusCode).isEqualTo(ExitCode.CONFLICT.code)
            expectThat(result.output).contains("the stored version is 8").contains("\"weight\": 3.0")
        }
    }

    @Test
    fun `every kind of answer to a write has its exit code`() {
        val codes = listOf(400, 401, 403, 404, 412, 422, 428, 500, 502, 503).map { exitCodeFor(StubReply(it, ERROR)) }

        expectThat(codes).containsExactly(4, 7, 7, 2, 3, 4, 4, 6, 6, 5)
    }

    @Test
    fun `a write whose answer is lost is uncertain and is not repeated`() {
        withStub(READ to stored(7), WRITE to null) { ctl, stub ->
            val result = ctl.run("contract", "apply", "-", input = sampleContract(weight = 2.0))

            expectThat(result.statusCode).isEqualTo(ExitCode.UNCERTAIN.code)
            expectThat(stub.requests.map { it.line }).containsExactly(READ, WRITE)
        }
    }

    @Test
    fun `an address without a listener is not reachable`() {
        val address = AdministrationStub(emptyMap()).use { it.address }

        expectThat(CtlRunner(address, folder).run("status").statusCode).isEqualTo(ExitCode.NOT_REACHABLE.code)
    }

    @Test
    fun `a drain of an unknown endpoint is not stored`() {
        withStub { ctl, stub ->
            expectThat(ctl.run("endpoint", "drain", "e7").statusCode).isEqualTo(ExitCode.NOT_FOUND.code)
            expectThat(stub.requests.map { it.line }).containsExactly("GET /v1/objects/endpoint/e7")
        }
    }

    @Test
    fun `diff shows only fields that differ in meaning`() {
        withStub(READ to stored(7)) { ctl, _ ->
            val result = ctl.run("contract", "diff", "-", input = sampleContract(weight = 2.0))

            expectThat(result.output.trim().lines()).containsExactly(
                "FIELD   VERSION 7  FILE",
                "weight  1.0        2.0",
            )
        }
    }

    @Test
    fun `limits shows an unusable contract, the usage and the reasons of refusals`() {
        val fault = """{"object":"contract/team-a","version":7,"message":"weight -1: must be positive"}"""
        val use = """{"team-a":{"done":3,"tokens":40,"refusals":{"token_rate":2}}}"""
        val status = StubReply(200, """{"instance":"r1","requests":{"unusableObjects":[$fault],"teams":$use}}""")
        withStub(READ to stored(7), "GET /v1/status" to status) { ctl, _ ->
            expectThat(ctl.run("limits", "team-a").output)
                .contains("version 7 is not usable at instance r1")
                .contains("3 requests done, 40 tokens, refused: token_rate 2")
        }
    }

    @Test
    fun `a wait that times out names the lagging instance`() {
        val lagging = """{"revision":5,"inForceEverywhere":false,"confirmed":1,"lagging":[{"instance":"r2"}]}"""
        withStub("GET /v1/rollout/5" to StubReply(200, lagging)) { ctl, _ ->
            val result = ctl.run("config", "wait", "5", "--timeout-seconds", "0")

            expectThat(result.statusCode).isEqualTo(ExitCode.TIMEOUT.code)
            expectThat(result.output).contains("r2")
        }
    }

    @Test
    fun `usage errors and help need no connection`() {
        val unknownKind = RootCommand.program().test("object list lease")
        val noAddress = RootCommand.program().test("status")
        val hostName = RootCommand.program().test("--address example:80 status")
        val help = RootCommand.program().test("contract apply --help")

        expectThat(listOf(unknownKind, noAddress, hostName, help).map { it.statusCode }).containsExactly(1, 1, 1, 0)
        expectThat(help.output).contains("oriolespindle-ctl contract apply --dry-run team-a.json")
    }

    @Test
    fun `environment variables set the global options`() {
        AdministrationStub(mapOf("GET /v1/status" to StubReply(200, """{"instance":"r1"}"""))).use { stub ->
            val token = Files.writeString(folder.resolve("token"), TOKEN).toString()
            val variables = mapOf("ADDRESS" to stub.address, "TOKEN_FILE" to token, "OUTPUT" to "json")
            val environment = variables.mapKeys { "ORIOLESPINDLE_CTL_${it.key}" }

            val result = RootCommand.program().test("status", envvars = environment)

            expectThat(result.stdout.filterNot { it.isWhitespace() }).isEqualTo("""{"instance":"r1"}""")
        }
    }

    @Test
    fun `the completion script contains the commands and options`() {
        val result = RootCommand.program().test("--generate-completion=bash")

        expectThat(result.output).contains("undrain").contains("--timeout-seconds")
    }

    private companion object {
        const val READ = "GET /v1/objects/contract/team-a"
        const val WRITE = "PUT /v1/objects/contract/team-a"
        const val ERROR = """{"error":"refused"}"""
        val WRITTEN = StubReply(200, """{"kind":"contract","name":"team-a","version":9}""")

        fun stored(
            version: Long,
            weight: Double = 1.0,
        ): StubReply {
            val value = sampleContract(weight)
            return StubReply(200, """{"kind":"contract","name":"team-a","version":$version,"value":$value}""")
        }
    }
}
