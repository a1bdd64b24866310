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
    private val durations = AnswerDurations(window = 4)
    private val service = ServiceId("s")

    @Test
    fun `only the last answers of a route count`() {
        listOf(9, 1, 2, 3, 4).forEach { durations.onEnded("r", service, it.seconds) }

        expectThat(durations.expected("r", service)).isEqualTo(AnswerDuration(median = 3.seconds, longest = 4.seconds))
    }

    @Test
    fun `durations are in proportion to the callers' estimates of the length`() {
        listOf(100 to 1_000, 200 to 3_000, 50 to 1_000).forEach { (length, millis) ->
            durations.onEnded("r", service, millis.milliseconds, length)
        }

        expectThat(durations.expected("r", service, estimatedLength = 10))
            .isEqualTo(AnswerDuration(median = 150.milliseconds, longest = 200.milliseconds))
        expectThat(durations.expected("r", service)).isNull()
        expectThat(durations.expected("r", service, estimatedLength = 0)?.longest).isEqualTo(20.milliseconds)
    }

    @Test
    fun `a route without answers is estimated by its service`() {
        durations.onEnded("r", service, 2.seconds)

        expectThat(durations.expected("new", service)?.longest).isEqualTo(2.seconds)
        expectThat(durations.expected("new", ServiceId("other"))).isNull()
    }

    @Test
    fun `routes and services that are gone are forgotten`() {
        durations.onEnded("r", service, 2.seconds)
        durations.retain(routes = setOf("other"), services = setOf(service))
        durations.onEnded("other", service, 1.seconds)

        expectThat(durations.expected("other", service)?.longest).isEqualTo(1.seconds)
        expectThat(durations.expected("r", service)?.longest).isEqualTo(2.seconds)
        durations.retain(routes = setOf("other"), services = emptySet())
        expectThat(durations.expected("r", service)).isNull()
    }
}
