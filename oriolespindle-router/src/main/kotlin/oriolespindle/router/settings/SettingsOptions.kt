package oriolespindle.router.settings

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.RawOption
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.router.http.Address
import java.io.IOException
import java.nio.file.Files
import java.nio.file.InvalidPathException
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The command-line options of an instance; each can also be set by its environment variable. */
internal class SettingsOptions : OptionGroup(name = "Settings") {
    private val instanceId by setting("--instance-id", "Name of this process, unique in the fleet and never reused.")
        .convert { name -> identifier(name) ?: fail("must be 1 to 63 letters, digits, '.', '_' or '-'") }
        .required()

    private val zone by setting("--zone", "Availability zone of this process.")
        .convert { name -> identifier(name) ?: fail("must be 1 to 63 letters, digits, '.', '_' or '-'") }
        .required()

    private val callers by setting("--callers", "IP:PORT to listen on for callers.").address().required()

    private val administration by setting("--administration", "IP:PORT to listen on for operators and metrics.")
        .address()
        .required()

    private val peers by setting("--peers", "IP:PORT to listen on for connections of other instances.")
        .address()
        .required()

    private val platform by setting("--platform", "IP:PORT of the platform's object API.").address().required()

    private val fleetKeyFile by setting("--fleet-key-file", "File with the key that all instances of the fleet share.")
        .convert { readSecret(it) ?: fail("file '$it' cannot be read or holds fewer than 16 bytes") }
        .required()

    private val operatorTokenFile by setting(
        "--operator-token-file",
        "File with a bearer token that has the administer role even if no operator is stored.",
    ).convert { readSecret(it) ?: fail("file '$it' cannot be read or holds fewer than 16 bytes") }

    private val seedPeers by setting("--seed-peers", "IP:PORT of other instances, used while the platform is down.")
        .address()
        .split(",")
        .default(emptyList())

    private val logFormat by setting("--log-format", "Format of log lines: text or json.")
        .enum<LogFormat> { it.name.lowercase() }
        .default(LogFormat.TEXT)

    private val drainGraceMillis by setting(
        "--drain-grace-ms",
        "Milliseconds for which a stopping instance keeps accepting connections (0 to 600000).",
    ).int().restrictTo(0..MAX_DRAIN_GRACE_MS).default(DEFAULT_DRAIN_GRACE_MS)

    private val terminationGrace by setting(
        "--termination-grace-seconds",
        "Time in seconds from SIGTERM until the platform kills the process (1 to 3600); default: it does not.",
    ).int().restrictTo(1..MAX_TERMINATION_GRACE_SECONDS)

    private val platformTimeoutMillis by setting(
        "--platform-timeout-ms",
        "Milliseconds to wait for a response of the platform (50 to 60000).",
    ).int().restrictTo(MIN_TIMEOUT_MS..MAX_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS)

    private val loadPollMillis by setting(
        "--load-poll-ms",
        "Milliseconds between reads of the load report of each endpoint (50 to 60000).",
    ).int().restrictTo(MIN_TIMEOUT_MS..MAX_TIMEOUT_MS).default(DEFAULT_LOAD_POLL_MS)

    private val tlsCertificate by setting("--tls-certificate", "PEM file with this process's certificate chain.")

    private val tlsKey by setting("--tls-key", "PEM file with the private key of the certificate.")

    /**
     * Returns the settings of the parsed command line.
     *
     * @throws UsageError if only one of the two TLS files is set.
     */
    fun settings(): Settings {
        if ((tlsCertificate == null) != (tlsKey == null)) {
            throw UsageError("--tls-certificate and --tls-key must be set together")
        }
        return Settings(
            instance = InstanceId(instanceId),
            zone = ZoneId(zone),
            callers = callers,
            administration = administration,
            peers = peers,
            platform = platform,
            fleetKey = fleetKeyFile,
            operatorToken = operatorTokenFile,
            seedPeers = seedPeers,
            logFormat = logFormat,
            drainGrace = drainGraceMillis.milliseconds,
            terminationGrace = terminationGrace?.seconds,
            platformTimeout = platformTimeoutMillis.milliseconds,
            loadPollInterval = loadPollMillis.milliseconds,
            tlsCertificate = tlsCertificate,
            tlsKey = tlsKey,
        )
    }

    private fun setting(
        flag: String,
        help: String,
    ): RawOption = option(flag, help = help, envvar = environmentVariable(flag))

    private fun RawOption.address(): NullableOption<Address, Address> =
        convert("IP:PORT") { text -> Address.parseOrNull(text) ?: fail("must be a numeric IP address, ':' and a port") }

    private fun identifier(name: String): String? = name.takeIf { identifierPattern.matches(it) }

    private fun readSecret(file: String): Secret? {
        val text =
            try {
                Files.readString(Path.of(file)).trim()
            } catch (_: IOException) {
                return null
            } catch (_: InvalidPathException) {
                return null
            }
        return Secret(text).takeIf { text.length >= MIN_KEY_BYTES }
    }

    internal companion object {
        private val identifierPattern = Regex("[A-Za-z0-9._-]{1,63}")
        private const val MIN_KEY_BYTES = 16
        private const val MAX_DRAIN_GRACE_MS = 600_000
        private const val DEFAULT_DRAIN_GRACE_MS = 5_000
        private const val MAX_TERMINATION_GRACE_SECONDS = 3_600
        private const val MIN_TIMEOUT_MS = 50
        private const val MAX_TIMEOUT_MS = 60_000
        private const val DEFAULT_TIMEOUT_MS = 2_000
        private const val DEFAULT_LOAD_POLL_MS = 250

        /** Returns the environment variable for [flag], such as `ORIOLESPINDLE_INSTANCE_ID` for `--instance-id`. */
        fun environmentVariable(flag: String): String =
            "ORIOLESPINDLE_" + flag.removePrefix("--").replace('-', '_').uppercase()
    }
}
