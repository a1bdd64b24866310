package oriolespindle.bench.load

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.SplittableRandom
import java.util.concurrent.Flow
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Sends streamed completion requests as a Poisson process and measures their answers. */
internal class LoadRun(
    private val settings: LoadSettings,
    private val progress: (String) -> Unit,
) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val random = SplittableRandom(settings.seed)
    private val inFlight = Semaphore(settings.maxInFlight)
    private val result = LoadResult()

    /** Sends requests for the duration of the run, then waits up to 60 s for the last answers. */
    fun run(): LoadSummary {
        val start = System.nanoTime()
        val end = start + settings.duration.inWholeNanoseconds
        var next = start
        var reported = start
        while (next < end) {
            waitUntil(next)
            sendRequest(next)
            next += nextInterval()
            if (next - reported > PROGRESS_INTERVAL_NANOS) {
                reported = next
                progress(
                    "whole ${result.complete.sum()}, refused ${result.refused.sum()}, failed ${result.failed.sum()}",
                )
            }
        }
        inFlight.tryAcquire(settings.maxInFlight, LAST_ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        return result.summary((System.nanoTime() - start).nanoseconds)
    }

    /** Returns the time to the next arrival of a Poisson process. */
    private fun nextInterval(): Long = (-ln(1 - random.nextDouble()) / settings.rate * NANOS_PER_SECOND).toLong()

    private fun waitUntil(time: Long) {
        while (true) {
            val left = time - System.nanoTime()
            if (left <= 0) return
            LockSupport.parkNanos(left)
        }
    }

    private fun sendRequest(intendedStart: Long) {
        if (!inFlight.tryAcquire()) {
            result.skipped.increment()
            return
        }
        val answer = Answer(intendedStart, result)
        val handler = HttpResponse.BodyHandlers.fromLineSubscriber(answer)
        client.sendAsync(request(), handler).whenComplete { response, failure ->
            inFlight.release()
            when {
                failure != null -> result.failed.increment()
                response.statusCode() in REFUSALS -> result.refused.increment()
                else -> answer.onEnded()
            }
        }
    }

    private fun request(): HttpRequest {
        val prompt = "load ${random.nextLong()}"
        val body =
            """{"model":"${settings.model}","prompt":"$prompt","max_tokens":${settings.tokens},"stream":true}"""
        return HttpRequest
            .newBuilder(URI("${settings.target}/v1/completions"))
            .header("Authorization", "Bearer ${settings.key}")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()
    }

    /** Measures the lines of one streamed answer. */
    private class Answer(
        private val intendedStart: Long,
        private val result: LoadResult,
    ) : Flow.Subscriber<String> {
        private var last = 0L
        private var isComplete = false

        override fun onSubscribe(subscription: Flow.Subscription) = subscription.request(Long.MAX_VALUE)

        override fun onNext(line: String) {
            if (line == "data: [DONE]") isComplete = true
            if (!line.startsWith("data: {\"position\"")) return
            val now = System.nanoTime()
            result.tokens.increment()
            if (last == 0L) result.recordFirstToken(since(intendedStart, now)) else result.recordGap(since(last, now))
            last = now
        }

        override fun onError(failure: Throwable) = Unit

        override fun onComplete() = Unit

        fun onEnded() {
            result.recordCompletion(since(intendedStart, System.nanoTime()))
            if (isComplete) result.complete.increment() else result.failed.increment()
        }

        private fun since(
            start: Long,
            now: Long,
        ): Duration = (now - start).nanoseconds
    }

    private companion object {
        const val LAST_ANSWER_TIMEOUT_SECONDS = 60L
        const val NANOS_PER_SECOND = 1e9
        const val PROGRESS_INTERVAL_NANOS = 1_000_000_000L
        val REFUSALS = setOf(429, 503)
    }
}
