package oriolespindle.router.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The address at which an instance accepts peers, and the limits of its connections. */
public data class PeerTransportSettings(
    public val listenHost: String,
    /** Zero chooses a free port. */
    public val listenPort: Int,
    public val fleetKey: FleetKey,
    public val maxQueuedFrames: Int = 256,
    public val maxQueuedBytes: Int = 4 * 1024 * 1024,
    public val initialBackoff: Duration = 100.milliseconds,
    public val maxBackoff: Duration = 5.seconds,
    public val connectTimeout: Duration = 2.seconds,
    public val handshakeTimeout: Duration = 2.seconds,
    /** How long a connection may leave a heartbeat unanswered, or accept no bytes, before it is closed. */
    public val silenceTimeout: Duration = 5.seconds,
    /** The maximum number of unauthenticated connections, which anyone who reaches the port can open. */
    public val maxUnauthenticated: Int = 64,
)
