package oriolespindle.router.relay

/** The names of the headers that the relay reads and sets, as defined by the platform. */
public data class RelayHeaderNames(
    /** Identifies one attempt of a caller; endpoints echo it in their answers. */
    public val requestId: String,
    /** The milliseconds for which the sender, a caller or this instance, still waits for the answer. */
    public val deadline: String,
    /** The team of the caller's key; set on requests to endpoints and dropped from requests of callers. */
    public val team: String,
    /** The endpoint that the request is meant for; any other endpoint refuses it. */
    public val expectedEndpoint: String,
    /** Proves that an answer comes from an endpoint. */
    public val signature: String,
    /** Present in the answer when the endpoint did not run the request. */
    public val notExecuted: String,
    /** `1` in any answer of an endpoint's process that leaves. */
    public val leaving: String,
    /** The address of the endpoint on the path that caused a refusal. */
    public val faultyEndpoint: String,
    /** The path through the endpoints that hold the model's layers. */
    public val path: String,
    /** The number of prompt tokens and the maximum number of answer tokens, separated by a comma. */
    public val tokens: String,
    /** The parts of the prompt in order, each as an id, a colon and a number of tokens, separated by commas. */
    public val promptParts: String,
    /** The caller's estimate of the number of answer tokens. */
    public val lengthHint: String? = null,
    /** The priority of a request, 0 to 9, by which endpoints order what waits; only this system sets it. */
    public val priority: String? = null,
    /** Further headers that only this system may set; dropped from requests of callers. */
    public val reserved: Set<String> = emptySet(),
)
