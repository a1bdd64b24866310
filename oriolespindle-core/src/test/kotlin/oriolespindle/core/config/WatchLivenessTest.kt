package oriolespindle.core.config

import org.junit.jupiter.api.Test
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a watch that is open but silent and against reconnects without a growing backoff. */
class WatchLivenessTest {
    private val start = Timestamp.ZERO
    private val watch = WatchLiveness(random = SplittableRandom(5))

    @Test
    fun `guards against waiting forever on an open connection that has gone silent`() {
        watch.handle(start, WatchSignal.START)
        watch.handle(start + 1.seconds, WatchSignal.LINE)

        expectThat(watch.handle(start + 3.seconds, WatchSignal.TICK)).isEmpty()
        expectThat(watch.handle(start + 4.seconds, WatchSignal.TICK)).containsExactly(WatchStep.CLOSE, WatchStep.OPEN)
        expectThat(watch.isLive).isFalse()
    }

    @Test
    fun `guards against reconnecting without a delay while the platform is down`() {
        var now = start
        var opened = 0
        watch.handle(now, WatchSignal.START)
        while (now - start < 60.seconds) {
            watch.handle(now, WatchSignal.ENDED)
            val due = checkNotNull(watch.nextTimer())
            expectThat(due - now).isLessThanOrEqualTo(5.seconds)
            expectThat(due).isGreaterThan(now)
            now = due
            if (WatchStep.OPEN in watch.handle(now, WatchSignal.TICK)) opened++
        }

        println("watch, platform refuses for 60 s: $opened attempts")
        expectThat(opened).isLessThanOrEqualTo(30)
    }

    @Test
    fun `guards against a connection left open when the instance stops watching`() {
        watch.handle(start, WatchSignal.START)

        expectThat(watch.handle(start + 10.milliseconds, WatchSignal.STOP)).containsExactly(WatchStep.CLOSE)
        expectThat(watch.nextTimer()).isNull()
        expectThat(watch.handle(start + 9.seconds, WatchSignal.TICK)).isEmpty()
    }
}
