package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime

/** Endpoints that go on sending in a stream, but nothing that continues it. */
class EndlessStreamTest {
    private val relay = RelayFixture()
    private val endpoints = ArrayList<ScriptedEndpoint>()
    private val flooding = CountDownLatch(1)

    @AfterEach
    fun close() {
        relay.close()
        endpoints.forEach { it.close() }
    }

    private fun endpoint(
        name: String,
        script: ScriptedConnection.(ReceivedRequest, Int) -> Unit,
    ): ScriptedEndpoint = ScriptedEndpoint(name, script).also { endpoints += it }

    private fun serve(vararg targets: ScriptedEndpoint) {
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = true), model = RelayFixture.model)
        relay.register(
            *targets.mapIndexed { i, it -> it.registration(RelayFixture.allLayers, zone = "z${i + 1}") }.toTypedArray(),
        )
    }

    /** Sends two events and then [chunk] until the relay closes the connection. */
    private fun ScriptedConnection.flood(
        request: ReceivedRequest,
        chunk: String,
    ) {
        write(Scripts.streamHead(request) + (1..2).joinToString("") { Scripts.chunk(Scripts.event(it)) })
        val block = Scripts.chunk(chunk).repeat(maxOf(1, BLOCK_BYTES / chunk.length))
        flooding.countDown()
        try {
            while (true) write(block)
        } catch (_: IOException) {
            // The relay has closed the connection.
        }
    }

    private fun ScriptedConnection.completeStream(request: ReceivedRequest) {
        val last = request["Last-Event-ID"]?.toInt() ?: 0
        write(Scripts.streamHead(request))
        (last + 1..5).forEach { write(Scripts.chunk(Scripts.event(it))) }
        write(Scripts.LAST_CHUNK)
    }

    /** Returns the longest time for which the relay's readiness endpoint did not answer while [isRunning]. */
    private fun longestSilence(isRunning: () -> Boolean): Duration {
        var longest = Duration.ZERO
        while (isRunning()) longest = maxOf(longest, measureTime { relay.isReady() })
        return longest
    }

    private fun expectResumed(chunk: String) {
        val first =
            endpoint("e1") { request, number ->
                if (number ==
                    1
                ) {
                    completeStream(request)
                } else {
                    flood(request, chunk)
                }
            }
        serve(first, endpoint("e2") { request, _ -> completeStream(request) })
        // The first request loads the classes of the relay.
        expectThat(relay.call().isComplete && relay.isReady()).isTrue()
        val answers = ArrayList<RawAnswer>()
        val callers = List(STREAMS) { thread { relay.call().let { synchronized(answers) { answers += it } } } }
        flooding.await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        val silence = longestSilence { callers.any { it.isAlive } }

        expectThat(silence).isLessThan(MAX_SILENCE)
        expectThat(answers.size).isEqualTo(STREAMS)
        for (answer in answers) {
            expectThat(answer.isComplete).isTrue()
            expectThat(Regex("id: ([0-9]+)").findAll(answer.body).map { it.groupValues[1].toInt() }.toList())
                .isEqualTo((1..5).toList())
        }
    }

    // Each blank line was passed on in a write of its own, and no amount of them ended the run.
    @Test
    fun `guards against blank lines without end that hold up all other requests`() = expectResumed("\n".repeat(4_000))

    @Test
    fun `guards against comments without end that hold up all other requests`() = expectResumed(":\n\n".repeat(1_000))

    @Test
    fun `guards against blank lines without end in chunks of one byte`() = expectResumed("\n")

    @Test
    fun `guards against one event that is repeated without end`() = expectResumed(Scripts.event(2))

    @Test
    fun `guards against an event without end in chunks of one byte`() = expectResumed("x")

    @Test
    fun `guards against fast sound streams that hold up all other requests`() {
        val engine =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request))
                (1..FAST_EVENTS).chunked(EVENTS_PER_WRITE).forEach { ids ->
                    write(ids.joinToString("") { Scripts.chunk(Scripts.event(it)) })
                }
                write(Scripts.LAST_CHUNK)
            }
        serve(engine)
        expectThat(relay.call().isComplete && relay.isReady()).isTrue()
        val answers = ArrayList<RawAnswer>()
        val callers = List(STREAMS) { thread { relay.call().let { synchronized(answers) { answers += it } } } }
        val silence = longestSilence { callers.any { it.isAlive } }

        expectThat(silence).isLessThan(MAX_SILENCE)
        expectThat(answers.count { it.isComplete && "data: event $FAST_EVENTS\n" in it.body }).isEqualTo(STREAMS)
    }

    @Test
    fun `guards against ending a sound stream that sends a comment every 50 ms to a slow reader`() {
        val engine =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request))
                for (event in 1..3) {
                    write(Scripts.chunk(Scripts.event(event)))
                    repeat(COMMENTS) {
                        Thread.sleep(COMMENT_INTERVAL_MILLIS)
                        write(Scripts.chunk(": alive\n\n"))
                    }
                }
                write(Scripts.LAST_CHUNK)
            }
        serve(engine, endpoint("e2") { request, _ -> completeStream(request) })
        relay.connect().use { caller ->
            caller.send("POST", "/r/x", mapOf("Connection" to "close"), "body")
            Thread.sleep(COMMENTS * COMMENT_INTERVAL_MILLIS)
            val answer = caller.readAll()

            expectThat(answer.isComplete).isTrue()
            expectThat(answer.body.removeSuffix("0"))
                .isEqualTo((1..3).joinToString("") { Scripts.event(it) + ": alive\n\n".repeat(COMMENTS) })
        }
    }

    private companion object {
        const val STREAMS = 4
        const val BLOCK_BYTES = 16 * 1024
        const val START_TIMEOUT_SECONDS = 5L

        /** A call that is late by more than half a second counts as unanswered. */
        val MAX_SILENCE = 500.milliseconds
        const val FAST_EVENTS = 20_000
        const val EVENTS_PER_WRITE = 500
        const val COMMENTS = 8
        const val COMMENT_INTERVAL_MILLIS = 50L
    }
}
