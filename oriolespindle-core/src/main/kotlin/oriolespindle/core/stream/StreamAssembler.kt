package oriolespindle.core.stream

import oriolespindle.core.chain.Chain
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.RequestId
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.time.Timestamp

/**
 * Assembles the answer to one request from the lines of its attempts.
 *
 * Only the current attempt delivers tokens: each position once and in order, and only if every layer ran exactly once.
 * A line that skips a position is a fault. Since TCP does not reorder, the engine has lost or reordered lines, and only
 * a new attempt after the last delivered token can complete the answer. After a fault, nothing is delivered until
 * [startAttempt] is called again.
 */
public class StreamAssembler(
    public val request: RequestId,
) {
    private var current: CurrentAttempt? = null
    private var lastAttempt = AttemptNumber(0)
    private var isComplete = false

    /** The number of tokens delivered so far, which is also the position of the next token. */
    public var delivered: Int = 0
        private set

    /**
     * Makes [attempt], which starts at position [resumeFrom], the only one that delivers tokens.
     *
     * @throws IllegalArgumentException if [attempt] is not later than the last one or [resumeFrom] would leave a gap.
     * @throws IllegalStateException if the answer is complete.
     */
    public fun startAttempt(
        now: Timestamp,
        attempt: AttemptNumber,
        chain: Chain,
        resumeFrom: Int,
    ) {
        check(!isComplete) { "request $request is complete" }
        require(attempt.value > lastAttempt.value) { "attempt ${attempt.value} does not follow ${lastAttempt.value}" }
        require(resumeFrom in 0..delivered) { "resume from $resumeFrom after $delivered delivered tokens" }
        lastAttempt = attempt
        current = CurrentAttempt(chain)
    }

    /** Handles [event] and returns its effect on the answer. */
    public fun handle(
        now: Timestamp,
        event: StreamEvent,
    ): StreamResult {
        if (event.request != request) return StreamResult.Ignored(IgnoredReason.OTHER_REQUEST)
        if (event.attempt != lastAttempt) return StreamResult.Ignored(IgnoredReason.OTHER_ATTEMPT)
        val attempt = current ?: return StreamResult.Ignored(IgnoredReason.ENDED)
        return when (event) {
            is StreamEvent.Token -> {
                handleToken(attempt, event)
            }

            is StreamEvent.End -> {
                handleEnd(event)
            }

            is StreamEvent.Error -> {
                failAttempt(RetryReason.STAGE_LOST, event.endpoint)
            }

            is StreamEvent.Unreadable, is StreamEvent.Closed -> {
                failAttempt(RetryReason.TRUNCATED_ANSWER, null)
            }

            is StreamEvent.Reset -> {
                failAttempt(
                    RetryReason.CONNECTION_RESET,
                    attempt.chain.stages
                        .first()
                        .endpoint,
                )
            }
        }
    }

    private fun handleToken(
        attempt: CurrentAttempt,
        event: StreamEvent.Token,
    ): StreamResult {
        if (event.position < delivered) return StreamResult.Ignored(IgnoredReason.DUPLICATE)
        if (event.position > delivered) return failAttempt(RetryReason.TRUNCATED_ANSWER, null)
        val wrongLayer = firstWrongLayer(event.layers, attempt.chain.layers)
        if (wrongLayer != null) return failAttempt(RetryReason.STAGE_LOST, attempt.endpointOf(wrongLayer))
        delivered++
        return StreamResult.Deliver(listOf(StreamToken(event.position, event.text)))
    }

    private fun handleEnd(event: StreamEvent.End): StreamResult {
        if (event.count != delivered) return failAttempt(RetryReason.TRUNCATED_ANSWER, null)
        isComplete = true
        current = null
        return StreamResult.Complete(delivered)
    }

    private fun failAttempt(
        reason: RetryReason,
        endpoint: EndpointId?,
    ): StreamResult {
        current = null
        return StreamResult.Fault(reason, endpoint)
    }

    /** Returns the first layer that was skipped, repeated or run out of order; null if `[0, layers)` ran once. */
    private fun firstWrongLayer(
        trace: List<LayerSpan>,
        layers: Int,
    ): Int? {
        var boundary = 0
        for (span in trace) {
            if (span.first != boundary || span.end <= span.first || span.end > layers) return boundary
            boundary = span.end
        }
        return boundary.takeIf { it != layers }
    }

    private class CurrentAttempt(
        val chain: Chain,
    ) {
        // A layer beyond the last one of the model is attributed to the last stage.
        fun endpointOf(layer: Int): EndpointId {
            val stage = chain.stages.firstOrNull { layer < it.layers.end } ?: chain.stages.last()
            return stage.endpoint
        }
    }
}
