package oriolespindle.ctl

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import oriolespindle.core.contract.KeyDigest
import java.nio.file.Files
import java.nio.file.Path

internal const val TOKEN = "operator-token-of-the-tests"

/** Runs commands in this process against the administration API at [address]. */
internal class CtlRunner(
    private val address: String,
    folder: Path,
) {
    private val tokenFile = Files.writeString(folder.resolve("operator-token"), TOKEN + "\n").toString()

    fun run(
        vararg arguments: String,
        input: String = "",
    ): CliktCommandTestResult =
        RootCommand
            .program(input.byteInputStream())
            .test(listOf("--address", address, "--token-file", tokenFile) + arguments, width = WIDTH)

    private companion object {
        const val WIDTH = 200
    }
}

internal fun sampleContract(
    weight: Double = 1.0,
    team: String = "team-a",
): String =
    """{"team":"$team","keyDigests":["${KeyDigest.of("key")}"],"requestsPerSecond":10.0,"tokensPerSecond":1000.0,""" +
        """"concurrency":20,"weight":$weight,"priorities":[0,1],"models":["demo"],"services":["orders"],""" +
        """"defaultDeadlineMs":10000,"maximumDeadlineMs":60000,"maximumBodyBytes":65536,""" +
        """"maximumPromptTokens":4000,"maximumGeneratedTokens":4000,"queueLength":200,"retryBudget":0.1}"""
