package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.ServiceId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class AnswerDurationsTest {
    private val durations = AnswerDurations(window = 4, minAnswers = 2)
    private val service = ServiceId("s")

    @Test
    fun `only the last answers of a route count`() {
        listOf(9, 1, 2, 3, 4).forEach { durations.onEnded("r", service, it.seconds) }

        expectThat(durations.shareWithin("r", service, 4.seconds)).isEqualTo(1.0)
        expectThat(durations.shareWithin("r", service, 3.seconds)).isEqualTo(0.75)
        expectThat(durations.shareWithin("r", service, 0.seconds)).isEqualTo(0.0)
    }

    @Test
    fun `requests in progress that have taken longer count as longer answers`() {
        listOf(1, 2, 3).forEach { durations.onEnded("r", service, it.seconds) }
        val ages = listOf(1, 4).map { it.seconds }

        expectThat(durations.shareWithin("r", service, 3.seconds, inProgress = ages)).isEqualTo(0.75)
        expectThat(durations.shareWithin("r", service, 4.seconds, inProgress = ages)).isEqualTo(1.0)
    }

    @Test
    fun `requests that ended without their answers count only if they took longer`() {
        durations.onEnded("r", service, 1.seconds, isComplete = false)
        expectThat(durations.shareWithin("r", service, 2.seconds)).isNull()
        durations.onEnded("r", service, 2.seconds)
        durations.onEnded("r", service, 4.seconds, isComplete = false)

        expectThat(durations.shareWithin("r", service, 2.seconds)).isEqualTo(0.5)
        expectThat(durations.shareWithin("r", service, 4.seconds)).isEqualTo(1.0)
    }

    @Test
    fun `a route with few answers is judged by its service`() {
        durations.onEnded("other", service, 2.seconds)
        durations.onEnded("r", service, 1.seconds)

        expectThat(durations.shareWithin("r", service, 1.seconds)).isEqualTo(0.5)
        expectThat(durations.shareWithin("new", service, 1.seconds)).isEqualTo(0.5)
        expectThat(durations.shareWithin("new", ServiceId("unknown"), 1.seconds)).isNull()
    }

    @Test
    fun `routes and services that are gone are forgotten`() {
        repeat(2) { durations.onEnded("r", service, 2.seconds) }
        repeat(2) { durations.onEnded("other", service, 1.seconds) }
        durations.retain(routes = setOf("other"), services = setOf(service))

        expectThat(durations.shareWithin("other", service, 1.seconds)).isEqualTo(1.0)
        expectThat(durations.shareWithin("r", service, 1.seconds)).isEqualTo(0.5)
        durations.retain(routes = setOf("other"), services = emptySet())
        expectThat(durations.shareWithin("other", service, 1.seconds)).isNull()
    }
}
