package oriolespindle.core.relay

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of [EndpointDirectory]. */
public data class DirectorySettings(
    /**
     * How long registrations that lapsed in a store outage stay valid after its end.
     *
     * Endpoints renew them within two seconds of the store's return; see docs/platform.md.
     */
    public val renewalTimeout: Duration = 2_200.milliseconds,
    /**
     * How long an endpoint whose removal may be a lapse stays in use after the store last confirmed its registration.
     *
     * Less than the time after which an endpoint that leaves must receive no more requests.
     */
    public val removalTimeout: Duration = 1_800.milliseconds,
    /** The first backoff after a failure or refusal; it doubles with each further one. */
    public val initialBackoff: Duration = 100.milliseconds,
    /** The longest backoff after failures; short enough to find a restarted endpoint soon after it listens again. */
    public val maxFailureBackoff: Duration = 2_000.milliseconds,
    /** The longest backoff after refusals; a full endpoint has capacity again as soon as one of its requests ends. */
    public val maxRefusalBackoff: Duration = 1_000.milliseconds,
    /** The backoff after another endpoint reports one as lost; it is gone for good or restarts as a new process. */
    public val lostEndpointBackoff: Duration = 3_000.milliseconds,
    /** The backoff after an answer that went on without progress; each further one costs a stream another attempt. */
    public val endlessAnswerBackoff: Duration = 3_000.milliseconds,
    /** The longest pause that an endpoint can ask for; a wrong number must not keep requests from it for long. */
    public val maxRequestedPause: Duration = 60_000.milliseconds,
    /** How long it is remembered that a process leaves after its registration is removed. */
    public val leaveRetention: Duration = 60.seconds,
)
