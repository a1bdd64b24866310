package oriolespindle.core.lifecycle

import org.junit.jupiter.api.Test
import oriolespindle.core.id.RequestId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class InstanceShutdownTest {
    private class Counts(
        var interrupted: Int = 0,
        var refused: Int = 0,
        var notEnded: Int = 0,
    )

    /** The load balancer checks readiness every 2 s and reacts up to 1 s later; requests take up to 60 s. */
    private fun run(
        seed: Long,
        settings: ShutdownSettings,
        counts: Counts,
    ) {
        val random = SplittableRandom(seed)
        val shutdown = InstanceShutdown(settings)
        val finishTimes = HashMap<RequestId, Timestamp>()
        val requestedAt = Timestamp.ZERO + random.nextInt(10_000).milliseconds
        val trafficMovedAt = requestedAt + (random.nextInt(2_000) + random.nextInt(1_000)).milliseconds
        var listening = true
        var ended = false
        for (step in 0..1_500) {
            val now = Timestamp.ZERO + (step * 100).milliseconds
            if (now < trafficMovedAt && random.nextInt(3) == 0) {
                val request = RequestId("r$step")
                if (listening) {
                    shutdown.handle(now, ShutdownEvent.ConnectionOpened)
                    shutdown.handle(now, ShutdownEvent.RequestStarted(request))
                    finishTimes[request] = now + random.nextInt(60_000).milliseconds
                } else {
                    counts.refused++
                }
            }
            val done = finishTimes.filterValues { it <= now }.keys
            done.forEach { shutdown.handle(now, ShutdownEvent.RequestFinished(it)) }
            finishTimes -= done
            if (now >= requestedAt) shutdown.handle(now, ShutdownEvent.Requested)
            val actions = shutdown.handle(now, ShutdownEvent.Tick)
            if (ShutdownAction.StopAccepting in actions) listening = false
            ended = ended || ShutdownAction.Exit in actions
            if (ended) break
        }
        counts.interrupted += finishTimes.size
        if (!ended) counts.notEnded++
    }

    private fun run(settings: ShutdownSettings): Counts {
        val counts = Counts()
        (1L..500L).forEach { run(it, settings, counts) }
        println(
            "shutdown: 500 seeds, unready for ${settings.unreadyFor}: ${counts.interrupted} interrupted, " +
                "${counts.refused} connections refused, ${counts.notEnded} not ended",
        )
        return counts
    }

    @Test
    fun `a shutdown neither interrupts nor refuses a request`() {
        val counts = run(ShutdownSettings())

        expectThat(counts.interrupted).isEqualTo(0)
        expectThat(counts.refused).isEqualTo(0)
        expectThat(counts.notEnded).isEqualTo(0)
        expectThat(run(ShutdownSettings(unreadyFor = Duration.ZERO, quietFor = Duration.ZERO)).refused).isGreaterThan(0)
    }

    @Test
    fun `a load balancer that ignores readiness cannot prevent the shutdown`() {
        val shutdown = InstanceShutdown()
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.Requested)
        val actions =
            (1..61).flatMap { second ->
                val now = Timestamp.ZERO + second.seconds
                shutdown.handle(now, ShutdownEvent.ConnectionOpened)
                shutdown.handle(now, ShutdownEvent.Tick)
            }

        expectThat(actions.count { it == ShutdownAction.StopAccepting }).isEqualTo(1)
        expectThat(shutdown.isReady).isEqualTo(false)
    }

    @Test
    fun `requests that are still in flight are ended before the platform kills the process`() {
        val settings = ShutdownSettings(unreadyFor = 2.seconds, acceptAtMost = 4.seconds, grace = 8.seconds)
        val shutdown = InstanceShutdown(settings)
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.RequestStarted(RequestId("r")))
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.Requested)
        val actions =
            (0..79).associateWith { step ->
                val now = Timestamp.ZERO + (step * 100).milliseconds
                shutdown.handle(now, ShutdownEvent.Tick)
            }

        expectThat(actions.filterValues { ShutdownAction.EndRequests in it }.keys).isEqualTo(setOf(75))
        // The answer of the request has not been written completely, for example because its caller does not read.
        expectThat(actions.filterValues { ShutdownAction.Exit in it }.keys).isEqualTo(setOf(78))
        expectThat(shutdown.timeLeft(Timestamp.ZERO + 4.seconds)).isEqualTo(3_500.milliseconds)
    }

    @Test
    fun `an instance without connections does not wait for another request before it exits`() {
        val shutdown = InstanceShutdown(ShutdownSettings(unreadyFor = 2.seconds, quietFor = Duration.ZERO))
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.ConnectionOpened)
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.RequestStarted(RequestId("r")))
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.Requested)
        shutdown.handle(Timestamp.ZERO + 2.seconds, ShutdownEvent.Tick)
        shutdown.handle(Timestamp.ZERO + 3.seconds, ShutdownEvent.RequestFinished(RequestId("r")))

        expectThat(shutdown.handle(Timestamp.ZERO + 3_100.milliseconds, ShutdownEvent.Tick))
            .isEqualTo(listOf(ShutdownAction.CloseIdle(1.seconds)))
        shutdown.handle(Timestamp.ZERO + 3_100.milliseconds, ShutdownEvent.ConnectionClosed)
        expectThat(shutdown.handle(Timestamp.ZERO + 3_200.milliseconds, ShutdownEvent.Tick))
            .isEqualTo(listOf(ShutdownAction.StopAccepting, ShutdownAction.CloseIdle(1.seconds)))
        // Connections that were established when the listener closed may still bring a request.
        expectThat(shutdown.handle(Timestamp.ZERO + 3_300.milliseconds, ShutdownEvent.Tick))
            .isEqualTo(listOf(ShutdownAction.CloseIdle(Duration.ZERO), ShutdownAction.Exit))
    }

    @Test
    fun `a listener that is still open is closed before requests are ended`() {
        val shutdown = InstanceShutdown(ShutdownSettings(grace = 1.seconds))
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.Requested)

        expectThat(shutdown.handle(Timestamp.ZERO + 1.seconds, ShutdownEvent.Tick))
            .isEqualTo(
                listOf(
                    ShutdownAction.StopAccepting,
                    ShutdownAction.CloseIdle(Duration.ZERO),
                    ShutdownAction.EndRequests,
                ),
            )
        expectThat(shutdown.handle(Timestamp.ZERO + 1.seconds, ShutdownEvent.Tick)).isEqualTo(
            listOf(ShutdownAction.CloseIdle(Duration.ZERO), ShutdownAction.Exit),
        )
    }

    @Test
    fun `idle connections are closed once the load balancer has had time to move its traffic`() {
        val shutdown = InstanceShutdown(ShutdownSettings(unreadyFor = 2.seconds, quietFor = 5.seconds))
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.ConnectionOpened)
        shutdown.handle(Timestamp.ZERO, ShutdownEvent.Requested)

        expectThat(shutdown.handle(Timestamp.ZERO + 1.seconds, ShutdownEvent.Tick)).isEqualTo(emptyList())
        expectThat(shutdown.handle(Timestamp.ZERO + 2.seconds, ShutdownEvent.Tick))
            .isEqualTo(listOf(ShutdownAction.CloseIdle(1.seconds)))
    }
}
