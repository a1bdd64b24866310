package oriolespindle.ctl

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import oriolespindle.testkit.fleet.FleetObject
import oriolespindle.testkit.fleet.FleetProcess
import oriolespindle.testkit.fleet.ProcessFleet
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

/** Runs an operator's session against two router instances in separate processes. */
class CtlProcessTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun `a contract, a conflicting change and a drain take effect through two instances`() {
        ProcessFleet(routerClassPath = System.getProperty("java.class.path")).use { fleet ->
            val (first, second) = routers(fleet).map { CtlRunner(it.administration, folder) }

            val created = first.versionOf("contract", "apply", "-", input = sampleContract())
            second.awaitRevision(created)
            val replaced = second.apply(sampleContract(weight = 2.0), created)
            val late = first.apply(sampleContract(weight = 3.0), created)
            expectThat(replaced.statusCode).isEqualTo(ExitCode.OK.code)
            expectThat(late.statusCode).isEqualTo(ExitCode.CONFLICT.code)
            expectThat(late.output).contains("\"weight\": 2.0")

            val drained = first.versionOf("endpoint", "drain", "e1")
            second.awaitRevision(drained)
            val line =
                second
                    .run("endpoint", "list")
                    .output
                    .lines()
                    .first { it.startsWith("e1 ") }
            expectThat(line.split(Regex(" +"))[DRAINING_COLUMN]).isEqualTo("yes")
            expectThat(second.run("contract", "get", "team-a").output).contains("weight                  2.0")
            expectThat(second.run("endpoint", "undrain", "e1").statusCode).isEqualTo(ExitCode.OK.code)
        }
    }

    private fun routers(fleet: ProcessFleet): List<FleetProcess> {
        val endpoint = """{"address":"127.0.0.1:1","zone":"z1","service":"orders"}"""
        val other = FleetObject("contract", "team-b", sampleContract(team = "team-b"))
        val platform =
            fleet.platform(
                listOf(FleetObject("endpoint", "e1", endpoint), FleetObject("service", "orders", "{}"), other),
            )
        fleet.awaitReady()
        val token = Files.writeString(folder.resolve("bootstrap-token"), TOKEN)
        val flags = listOf("--operator-token-file", "$token")
        val routers = listOf("r1", "r2").map { fleet.router(it, "z1", platform.address, flags) }
        fleet.awaitReady()
        return routers
    }

    private fun CtlRunner.apply(
        contract: String,
        basedOn: Long,
    ) = run("contract", "apply", "--based-on", "$basedOn", "-", input = contract)

    private fun CtlRunner.versionOf(
        vararg arguments: String,
        input: String = "",
    ): Long {
        val result = run("--output", "json", *arguments, input = input)
        check(result.statusCode == 0) { result.output }
        return Json
            .parseToJsonElement(result.stdout)
            .jsonObject["version"]
            .cell()
            .toLong()
    }

    private fun CtlRunner.awaitRevision(revision: Long) {
        val result = run("config", "wait", "$revision", "--timeout-seconds", "30")
        check(result.statusCode == 0) { result.output }
        check("all 2 instances" in result.output) { result.output }
    }

    private companion object {
        const val DRAINING_COLUMN = 2
    }
}
