package oriolespindle.core.lifecycle

import org.junit.jupiter.api.Test
import oriolespindle.core.id.RequestId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against callers that find no listener although the process still runs and could answer them. */
class ClosedListenerDuringShutdownTest {
    private class Counts(
        var connections: Int = 0,
        var unanswered: Int = 0,
        var interrupted: Int = 0,
        var notEnded: Int = 0,
    )

    /** Too few instances are ready, so the load balancer sends a connection now and then until the process ends. */
    private fun run(
        seed: Long,
        counts: Counts,
    ) {
        val random = SplittableRandom(seed)
        val shutdown = InstanceShutdown(settings)
        val stream = RequestId("stream")
        val finishTimes = hashMapOf(stream to Timestamp.ZERO + (2_000 + random.nextInt(5_000)).milliseconds)
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.ConnectionOpened)
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.RequestStarted(stream))
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.Requested)
        var isListening = true
        for (step in 0..LAST_STEP) {
            val now = Timestamp.ZERO + (step * STEP_MILLIS).milliseconds
            if (random.nextInt(STEPS_PER_CONNECTION) == 0) {
                counts.connections++
                if (isListening) {
                    val request = RequestId("r$step")
                    shutdown.handle(now, ShutdownEvent.ConnectionOpened)
                    shutdown.handle(now, ShutdownEvent.RequestStarted(request))
                    finishTimes[request] = now + 50.milliseconds
                } else if (finishTimes.isNotEmpty() && now - Timestamp.ZERO < settings.acceptAtMost) {
                    counts.unanswered++
                }
            }
            val done = finishTimes.filterValues { it <= now }.keys
            done.forEach { request ->
                shutdown.handle(now, ShutdownEvent.RequestFinished(request))
                shutdown.handle(now, ShutdownEvent.ConnectionClosed)
            }
            finishTimes -= done
            val actions = shutdown.handle(now, ShutdownEvent.Tick)
            if (ShutdownAction.StopAccepting in actions) isListening = false
            if (ShutdownAction.Exit in actions) {
                counts.interrupted += finishTimes.size
                return
            }
        }
        counts.notEnded++
    }

    @Test
    fun `the listener stays open while a request in flight keeps the process running`() {
        val counts = Counts()
        (1L..500L).forEach { run(it, counts) }
        println("500 seeds: ${counts.unanswered} of ${counts.connections} connections found a closed listener")

        expectThat(counts.unanswered).isEqualTo(0)
        expectThat(counts.interrupted).isEqualTo(0)
        expectThat(counts.notEnded).isEqualTo(0)
    }

    // Callers whose requests were refused by one stopping instance after another used up their retries.
    @Test
    fun `the listener closes once requests are refused, although a request is in flight`() {
        val shutdown = InstanceShutdown(settings)
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.ConnectionOpened)
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.RequestStarted(RequestId("stream")))
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.Requested)
        val tickWhileOpen = shutdown.handle(Timestamp.ZERO + 3.seconds, ShutdownEvent.Tick)
        shutdown.handle(Timestamp.ZERO + 3.seconds, ShutdownEvent.RequestRefused)
        val tickAfterRefusal = shutdown.handle(Timestamp.ZERO + 3_100.milliseconds, ShutdownEvent.Tick)

        expectThat(tickWhileOpen.contains(ShutdownAction.StopAccepting)).isFalse()
        expectThat(tickAfterRefusal.contains(ShutdownAction.StopAccepting)).isTrue()
    }

    private companion object {
        const val STEP_MILLIS = 100
        const val LAST_STEP = 79
        const val STEPS_PER_CONNECTION = 10
        val settings =
            ShutdownSettings(
                unreadyFor = 2_500.milliseconds,
                quietFor = 500.milliseconds,
                acceptAtMost = 7_300.milliseconds,
                grace = 8.seconds,
            )
    }
}
