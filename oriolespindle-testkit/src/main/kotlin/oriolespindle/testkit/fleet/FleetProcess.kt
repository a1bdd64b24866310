package oriolespindle.testkit.fleet

import oriolespindle.testkit.engine.EngineFault
import oriolespindle.testkit.engine.EngineRun
import oriolespindle.testkit.http.TestClient
import oriolespindle.testkit.http.wireJson
import oriolespindle.testkit.link.LinkFault
import oriolespindle.testkit.platform.PlatformCalls
import oriolespindle.testkit.platform.PlatformFault
import oriolespindle.testkit.platform.PlatformInstance
import oriolespindle.testkit.service.ServiceEffects
import oriolespindle.testkit.service.ServiceFault
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val SHOWN_OUTPUT_LINES = 40

/**
 * One process of a [ProcessFleet].
 *
 * [address] serves callers; [administration] serves control or administration and may be the same; [peers] is the
 * address for other instances of a router and null for stand-ins.
 */
public class FleetProcess internal constructor(
    public val name: String,
    public val address: String,
    public val administration: String,
    public val peers: String?,
    public val output: Path,
    private val readyPath: String,
    private val launch: () -> Process,
) {
    private var process: Process = launch()

    /** The process id of the latest start. */
    public val pid: Long get() = process.pid()

    /** Whether the process runs; a paused process does. */
    public val isAlive: Boolean get() = process.isAlive

    /** Ends the process at once, paused or not, and waits until it is gone. */
    public fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Asks the process to shut down with SIGTERM and does not wait. */
    public fun terminate() {
        process.destroy()
    }

    /** Stops the process with SIGSTOP; its connections stay open. */
    public fun pause() {
        signal("STOP")
    }

    /** Lets a paused process go on with SIGCONT. */
    public fun resume() {
        signal("CONT")
    }

    /** Returns the exit code, or null when the process still runs after [timeout]. */
    public fun exitCode(timeout: Duration = 10.seconds): Int? {
        val ended = process.waitFor(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return if (ended) process.exitValue() else null
    }

    /**
     * Starts the process again with the same addresses; its output is added to the same file.
     *
     * A stand-in has lost what it held in memory: a platform has its initial objects again.
     *
     * @throws IllegalStateException if it still runs.
     */
    public fun restart() {
        check(!process.isAlive) { "$name still runs" }
        process = launch()
    }

    /** Injects a fault into a platform. */
    public fun inject(fault: PlatformFault): Unit = control(wireJson.encodeToString(fault))

    /** Injects a fault into an engine. */
    public fun inject(fault: EngineFault): Unit = control(wireJson.encodeToString(fault))

    /** Injects a fault into a plain service. */
    public fun inject(fault: ServiceFault): Unit = control(wireJson.encodeToString(fault))

    /** Injects a fault into a link. */
    public fun inject(fault: LinkFault): Unit = control(wireJson.encodeToString(fault))

    /** Adds or replaces an entry of a platform's instance list. */
    public fun register(instance: PlatformInstance) {
        val reply =
            TestClient(address).call("PUT", "/v1/instances/${instance.id}", wireJson.encodeToString(instance))
        check(reply.status == 200) { "$name refused to register ${instance.id}: ${reply.status} ${reply.body}" }
    }

    /** The calls that a platform has counted. */
    public fun calls(): PlatformCalls = read("/_control/calls")

    /** The layers that an engine has run. */
    public fun runs(): List<EngineRun> = read("/_control/runs")

    /** The effects of a plain service. */
    public fun effects(): ServiceEffects = read("/_control/effects")

    /** Returns whether the process answers its readiness check with 200; false also when it does not answer in 2 s. */
    public fun isReady(): Boolean =
        try {
            TestClient(administration, 2.seconds).call("GET", readyPath).status == 200
        } catch (_: IOException) {
            false
        }

    internal fun lastOutput(): String =
        if (output.exists()) output.readLines().takeLast(SHOWN_OUTPUT_LINES).joinToString("\n") else ""

    private fun signal(name: String) {
        val code = ProcessBuilder("sh", "-c", "kill -$name $pid").start().waitFor()
        check(code == 0) { "signal $name to process $pid failed with exit code $code" }
    }

    private fun control(fault: String) {
        val reply = TestClient(administration).call("POST", "/_control", fault)
        check(reply.status == 200) { "$name refused a fault: ${reply.status} ${reply.body}" }
    }

    private inline fun <reified T> read(path: String): T =
        wireJson.decodeFromString(TestClient(administration).call("GET", path).body)
}
