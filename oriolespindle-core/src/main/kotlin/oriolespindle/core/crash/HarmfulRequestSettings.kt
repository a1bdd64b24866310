package oriolespindle.core.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** The settings of [HarmfulRequestGuard]. */
public data class HarmfulRequestSettings(
    /** The ends of endpoints after which a trait of which no request was ever answered is rejected. */
    public val maxCrashes: Int = 3,
    /**
     * The same for a trait of which requests were answered before.
     *
     * A popular part of prompts is at every endpoint that ends for another reason, and rejecting it would hit many
     * callers, so more evidence is needed.
     */
    public val maxCrashesOfKnown: Int = 5,
    /**
     * The same for a content or a part of prompts of which answers were begun and none was ever completed.
     *
     * A sound stream is at the ends that a harmful request causes until one of its runs completes.
     */
    public val maxCrashesOfBegun: Int = 5,
    /**
     * The same for a part of prompts of which answers were completed before, counted since the last one.
     *
     * While many endpoints end for another reason, a sound part may be at some of them before the next completion.
     */
    public val maxCrashesOfCompleted: Int = 8,
    /** Ends within this time of each other count as one: a rack, a switch or a zone may have failed. */
    public val simultaneousWindow: Duration = 50.milliseconds,
    /** How long an end of an endpoint counts, and thereby how long requests are rejected after the last one. */
    public val retention: Duration = 30.minutes,
    /** How long a silence counts as an end; the platform removes the registration of a process that ended sooner. */
    public val silenceRetention: Duration = 6.seconds,
    /** The most ends of endpoints that are remembered; those that a rejection rests on are never dropped. */
    public val maxRecordedCrashes: Int = 256,
    /** The most unanswered requests that are remembered for one end of an endpoint. */
    public val maxRequestsPerCrash: Int = 256,
    /** The most traits of all requests at one end together that are remembered. */
    public val maxTraitsPerCrash: Int = 8_192,
    /** The most traits of all remembered requests together. */
    public val maxRecordedTraits: Int = 32_768,
    /**
     * The most traits of a request that count at an end although requests with them were completed.
     *
     * A prompt may have hundreds of parts, and almost all of them are known to be sound.
     */
    public val maxCompletedTraits: Int = 32,
    /** The most traits of which it is remembered that requests were answered, and that they were completed. */
    public val maxKnownTraits: Int = 16_384,
)
