package oriolespindle.testkit.fleet

import oriolespindle.testkit.STOP_WITH_INPUT_PROPERTY
import oriolespindle.testkit.engine.EngineSettings
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.absolutePathString
import kotlin.io.path.createDirectories
import kotlin.io.path.deleteRecursively
import kotlin.io.path.writeText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

private const val STOP_WITH_INPUT_FLAG = "-D$STOP_WITH_INPUT_PROPERTY=true"
private const val QUIET_LOG_FLAG = "-Dtinylog.level=warn"
private const val READY_CHECK_MILLIS = 50L

/** A platform object to load at the start; [value] is its JSON text. */
public data class FleetObject(
    public val kind: String,
    public val name: String,
    public val value: String,
)

/**
 * Runs stand-ins and router instances as separate JVM processes on loopback.
 *
 * Starting does not wait; [awaitReady] does. [close] kills every process that this fleet started and deletes the folder
 * with their output; it also runs when the JVM shuts down. [routerClassPath] is needed for [router] only.
 */
public class ProcessFleet(
    private val routerClassPath: String? = null,
    private val classPath: String = System.getProperty("java.class.path"),
) : AutoCloseable {
    private val started = mutableListOf<FleetProcess>()
    private var closed = false
    private val guard = lazy { ProcessGuard.start(classPath) }
    private val folder: Path = Files.createTempDirectory("oriolespindle-fleet")
    private val hook = Thread(::stopAll)

    init {
        Runtime.getRuntime().addShutdownHook(hook)
    }

    /** Every process in the order of the starts. */
    @get:Synchronized
    public val processes: List<FleetProcess> get() = started.toList()

    /** Starts a platform that holds [objects]. */
    public fun platform(objects: List<FleetObject> = emptyList()): FleetProcess {
        val flags = objects.flatMap { listOf("--object", "${it.kind}/${it.name}=@${file(it)}") }
        val port = FreePorts.take()
        val control = FreePorts.take()
        return startStandIn(
            name = "platform",
            main = "oriolespindle.testkit.platform.MainKt",
            port = port,
            control = control,
            readyPath = "/_control/calls",
            flags = flags + listOf("--control-port", "$control"),
        )
    }

    /** Starts a model engine. */
    public fun engine(settings: EngineSettings): FleetProcess =
        startStandIn(
            name = settings.endpoint,
            main = "oriolespindle.testkit.engine.MainKt",
            readyPath = "/v1/load",
            flags = settings.flags(),
        )

    /** Starts one endpoint of a plain service. */
    public fun service(endpoint: String): FleetProcess =
        startStandIn(
            name = endpoint,
            main = "oriolespindle.testkit.service.MainKt",
            readyPath = "/_control/effects",
            flags = listOf("--endpoint", endpoint),
        )

    /** Starts a TCP link to [target], which is `HOST:PORT`. */
    public fun link(
        name: String,
        target: String,
    ): FleetProcess {
        val control = FreePorts.take()
        return startStandIn(
            name = name,
            main = "oriolespindle.testkit.link.MainKt",
            control = control,
            readyPath = "/_control/connections",
            flags = listOf("--target", target, "--control-port", "$control"),
        )
    }

    /**
     * Starts a router instance that uses the platform at [platform]; [flags] are added to the usual ones.
     *
     * @throws IllegalStateException if the fleet has no router class path.
     */
    @Synchronized
    public fun router(
        instance: String,
        zone: String,
        platform: String,
        flags: List<String> = emptyList(),
    ): FleetProcess {
        val path = checkNotNull(routerClassPath) { "the fleet has no router class path" }
        val callers = loopback(FreePorts.take())
        val administration = loopback(FreePorts.take())
        val peers = loopback(FreePorts.take())
        val arguments =
            listOf("--instance-id", instance, "--zone", zone) +
                listOf("--callers", callers, "--administration", administration, "--peers", peers) +
                listOf("--platform", platform, "--fleet-key-file", fleetKeyFile(), "--log-format", "text")
        val command = java(path, "oriolespindle.router.MainKt") + arguments + flags
        val launch = launch(instance, command) { guard.value.register(it.pid()) }
        return add(FleetProcess(instance, callers, administration, peers, log(instance), "/readyz", launch))
    }

    /**
     * Waits until every process that runs is ready.
     *
     * @throws IllegalStateException if one ends first or is not ready after [timeout]; the message has its last output.
     */
    public fun awaitReady(timeout: Duration = 60.seconds) {
        val deadline = TimeSource.Monotonic.markNow() + timeout
        processes.forEach { process ->
            while (!process.isReady()) {
                check(process.isAlive) {
                    "${process.name} ended with exit code ${process.exitCode()} before it was ready:\n" +
                        process.lastOutput()
                }
                check(deadline.hasNotPassedNow()) {
                    "${process.name} was not ready after $timeout:\n${process.lastOutput()}"
                }
                Thread.sleep(READY_CHECK_MILLIS)
            }
        }
    }

    override fun close() {
        stopAll()
        try {
            Runtime.getRuntime().removeShutdownHook(hook)
        } catch (_: IllegalStateException) {
            // The JVM is shutting down and runs the hook itself.
        }
    }

    /** Runs once, in [close] or in the shutdown hook; the other one waits for it. */
    @Synchronized
    @OptIn(kotlin.io.path.ExperimentalPathApi::class)
    private fun stopAll() {
        if (closed) return
        closed = true
        processes.forEach { it.kill() }
        if (guard.isInitialized()) guard.value.stop()
        folder.deleteRecursively()
    }

    /** Starts processes under the lock, so that none starts after [stopAll]. */
    private fun launch(
        name: String,
        command: List<String>,
        started: (Process) -> Unit = {},
    ): () -> Process =
        {
            synchronized(this) {
                check(!closed) { "the fleet is closed, $name is not started" }
                ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()))
                    .start()
                    .also(started)
            }
        }

    @Synchronized
    private fun startStandIn(
        name: String,
        main: String,
        readyPath: String,
        flags: List<String>,
        port: Int = FreePorts.take(),
        control: Int = port,
    ): FleetProcess {
        val command = java(classPath, main, STOP_WITH_INPUT_FLAG, QUIET_LOG_FLAG) + listOf("--port", "$port") + flags
        val launch = launch(name, command)
        return add(FleetProcess(name, loopback(port), loopback(control), null, log(name), readyPath, launch))
    }

    private fun add(process: FleetProcess): FleetProcess = process.also { started += it }

    private fun java(
        classPath: String,
        main: String,
        vararg flags: String,
    ): List<String> {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").absolutePathString()
        val limits = listOf("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
        return listOf(java) + limits + flags + listOf("-cp", classPath, main)
    }

    private fun log(name: String): Path = folder.resolve("$name.out")

    private fun file(stored: FleetObject): Path {
        val file = folder.resolve("objects").resolve("${stored.kind}-${stored.name}.json")
        file.parent.createDirectories()
        file.writeText(stored.value)
        return file
    }

    private fun fleetKeyFile(): String {
        val file = folder.resolve("fleet-key")
        file.writeText("local-fleet-key-0123456789abcdef")
        return file.absolutePathString()
    }
}

private fun loopback(port: Int) = "127.0.0.1:$port"

private fun EngineSettings.flags(): List<String> =
    listOf("--endpoint", endpoint, "--model", model, "--first", "$first", "--end", "$end") +
        listOf("--token-delay-ms", "${tokenDelay.toDouble(DurationUnit.MILLISECONDS)}") +
        listOf("--prefill-delay-ms", "${prefillDelay.toDouble(DurationUnit.MILLISECONDS)}") +
        listOf("--tokens-per-second", "$tokensPerSecond") +
        listOf("--max-active", "$maxActive", "--max-sessions", "$maxSessions") +
        listOf("--load-lag-ms", "${loadLag.inWholeMilliseconds}") +
        if (checksFence) emptyList() else listOf("--ignore-fence")
