package oriolespindle.router.relay

/** The names of the headers that the relay reads and sets; a platform gives them. */
public data class RelayHeaderNames(
    /** Names one attempt of a caller; endpoints repeat it in their answers. */
    public val requestId: String,
    /** The milliseconds for which the caller, or this instance, still waits. */
    public val deadline: String,
    /** The team of the caller's key; set for endpoints and never taken from callers. */
    public val team: String,
    /** The endpoint that should receive the request; any other refuses it. */
    public val expectedEndpoint: String,
    /** Proves that an answer was made by an endpoint. */
    public val signature: String,
    /** Present when the endpoint did not run the request. */
    public val notExecuted: String,
    /** The address of the endpoint of a path that caused a refusal. */
    public val faultyEndpoint: String,
    /** The path through the endpoints that hold the model's layers. */
    public val path: String,
    /** The tokens of the prompt and the most tokens of the answer. */
    public val tokens: String,
    /** Other headers that are set by this system only and are dropped from callers' requests. */
    public val reserved: Set<String> = emptySet(),
)
