package oriolespindle.router.runtime

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

class TimerServiceTest {
    @Test
    fun `repeats a task that has failed`() {
        val runs = CountDownLatch(3)
        TimerService().use { timers ->
            timers.every(5.milliseconds) {
                runs.countDown()
                error("the task fails in each run")
            }

            expectThat(runs.await(5, TimeUnit.SECONDS)).isTrue()
        }
    }

    @Test
    fun `repeats a task that has overflowed the stack`() {
        val runs = CountDownLatch(3)
        TimerService().use { timers ->
            timers.every(5.milliseconds) {
                runs.countDown()
                throw StackOverflowError()
            }

            expectThat(runs.await(5, TimeUnit.SECONDS)).isTrue()
        }
    }
}
