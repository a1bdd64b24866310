package oriolespindle.core.failover

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The settings by which ended endpoints are found and their streams are moved. */
public data class FailoverSettings(
    /** The minimum time between two probes of one process; a confirmation belongs to the probe that it confirms. */
    public val probeInterval: Duration = 200.milliseconds,
    /** The timeout of one probe; several round trips between zones. */
    public val probeTimeout: Duration = 100.milliseconds,
    /** The delay before a process that refused a connection is asked again; a restarted listener is open by then. */
    public val confirmationDelay: Duration = 10.milliseconds,
    /** How long the first end waits for others; adjacent engines often crash together and are probed at once. */
    public val gatheringTime: Duration = 5.milliseconds,
    /** The least time without an event after which the path is probed; steps of a loaded engine take up to half. */
    public val minSilence: Duration = 80.milliseconds,
    /** The longest time without an event after which the path is probed, as for the stall report. */
    public val maxSilence: Duration = 350.milliseconds,
    /** The time without an event while the interval of events is unknown; a prefill usually takes less. */
    public val firstEventSilence: Duration = 200.milliseconds,
    /** The silence after which a stream is moved from an endpoint that does not answer to a connection. */
    public val movableSilence: Duration = 100.milliseconds,
    /** How long an endpoint that does not answer to a connection gets no new streams. */
    public val silentBackoff: Duration = 1.seconds,
    /** The probes a second that silent streams may cause; slow engines would otherwise cause many without an end. */
    public val silenceProbesPerSecond: Double = 20.0,
    /** The probes that silent streams may cause at once; enough for the endpoints of a zone. */
    public val silenceProbeBurst: Double = 40.0,
    /** How long the hint of another instance makes one of this instance superfluous. */
    public val hintRetention: Duration = 10.seconds,
)
