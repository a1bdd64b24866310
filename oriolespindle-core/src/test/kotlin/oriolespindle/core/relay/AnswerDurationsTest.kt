package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.ServiceId
import oriolespindle.core.lifecycle.AnswerDuration
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AnswerDurationsTest {
    private val durations = AnswerDurations(window = 4, minAnswers = 2)
    private val service = ServiceId("s")

    @Test
    fun `only the last answers of a route count`() {
        listOf(9, 1, 2, 3, 4).forEach { durations.onEnded("r", service, it.seconds) }

        expectThat(durations.expected("r", service)).isEqualTo(AnswerDuration(median = 3.seconds, longest = 4.seconds))
    }

    @Test
    fun `an estimate of the length lowers what is expected`() {
        listOf(100 to 1_000, 200 to 3_000, 50 to 1_000).forEach { (tokens, millis) ->
            durations.onEnded("r", service, millis.milliseconds, tokens)
        }

        expectThat(durations.expected("r", service, estimatedTokens = 10))
            .isEqualTo(AnswerDuration(median = 150.milliseconds, longest = 200.milliseconds))
        expectThat(durations.expected("r", service))
            .isEqualTo(AnswerDuration(median = 1.seconds, longest = 3.seconds))
    }

    @Test
    fun `no caller's estimate raises what is expected`() {
        listOf(100, 100, 0, 1).forEach { durations.onEnded("r", service, 2.seconds, it) }
        val unscaled = AnswerDuration(median = 2.seconds, longest = 2.seconds)

        for (tokens in listOf(100, 0, -1, Int.MAX_VALUE, null)) {
            expectThat(durations.expected("r", service, tokens)?.longest).isEqualTo(unscaled.longest)
        }
        expectThat(durations.expected("r", service, Int.MAX_VALUE)).isEqualTo(unscaled)
    }

    @Test
    fun `a route with few answers is judged by its service`() {
        durations.onEnded("other", service, 2.seconds)
        durations.onEnded("r", service, 1.seconds)

        expectThat(durations.expected("r", service)?.longest).isEqualTo(2.seconds)
        expectThat(durations.expected("new", service)?.longest).isEqualTo(2.seconds)
        expectThat(durations.expected("new", ServiceId("unknown"))).isNull()
    }

    @Test
    fun `routes and services that are gone are forgotten`() {
        repeat(2) { durations.onEnded("r", service, 2.seconds) }
        repeat(2) { durations.onEnded("other", service, 1.seconds) }
        durations.retain(routes = setOf("other"), services = setOf(service))

        expectThat(durations.expected("other", service)?.longest).isEqualTo(1.seconds)
        expectThat(durations.expected("r", service)?.longest).isEqualTo(2.seconds)
        durations.retain(routes = setOf("other"), services = emptySet())
        expectThat(durations.expected("other", service)).isNull()
    }
}
