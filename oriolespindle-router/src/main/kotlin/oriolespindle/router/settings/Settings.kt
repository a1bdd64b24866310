package oriolespindle.router.settings

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.router.http.Address
import kotlin.time.Duration

/** The effective settings of one instance; see the help texts in [SettingsOptions] for their effects and units. */
internal data class Settings(
    val instance: InstanceId,
    val zone: ZoneId,
    val callers: Address,
    val administration: Address,
    val peers: Address,
    val platform: Address,
    val fleetKey: Secret,
    val operatorToken: Secret?,
    val seedPeers: List<Address>,
    val logFormat: LogFormat,
    val drainGrace: Duration,
    /** The time from SIGTERM until the platform kills the process; null if it does not. */
    val terminationGrace: Duration?,
    val platformTimeout: Duration,
    val loadPollInterval: Duration,
    val tlsCertificate: String?,
    val tlsKey: String?,
)

/** The format of log lines. */
public enum class LogFormat { TEXT, JSON }

/** A value that must not appear in logs or output; [toString] masks it. */
@JvmInline
internal value class Secret(
    val value: String,
) {
    override fun toString(): String = "********"
}
