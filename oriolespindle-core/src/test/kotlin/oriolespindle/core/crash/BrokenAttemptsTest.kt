package oriolespindle.core.crash

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds

class BrokenAttemptsTest {
    private val broken = BrokenAttempts()
    private val process = EndpointProcess(EndpointId("e"), startedAt = 1)
    private val at = { millis: Int -> Timestamp.ZERO + millis.milliseconds }

    private fun attempt(
        content: String,
        sentAt: Int = 0,
    ) = BrokenAttempt(setOf(RequestTrait(content)), isBegun = false, sentAt = at(sentAt))

    private fun takenContents() =
        broken
            .takeAll(process)
            ?.attempts
            ?.flatMap { it.traits }
            ?.map { it.value }

    @Test
    fun `returns the attempts of a process once, with the time of the first one`() {
        broken.add(at(500), process, attempt("a"), isSilent = false)
        broken.add(at(700), process, attempt("b"), isSilent = false)
        val ended = broken.takeAll(process)

        expectThat(ended?.since).isEqualTo(at(500))
        expectThat(ended?.attempts?.size).isEqualTo(2)
        expectThat(broken.takeAll(process)).isNull()
    }

    @Test
    fun `a process that sends something later has not ended under the attempt`() {
        broken.add(at(500), process, attempt("a"), isSilent = true)
        broken.onSignOfLife(at(700), process)
        expectThat(broken.takeAll(process)).isNull()
    }

    @Test
    fun `bytes that were in transit when the attempt broke off are no sign of life`() {
        broken.add(at(500), process, attempt("a"), isSilent = false)
        broken.onSignOfLife(at(510), process)
        expectThat(broken.takeAll(process)).isNotNull()
    }

    @Test
    fun `does not hold a silence against attempts that were sent after it began`() {
        broken.add(at(500), process, attempt("cause"), isSilent = true)
        broken.add(at(900), process, attempt("later", sentAt = 600), isSilent = true)
        broken.add(at(900), process, attempt("beside", sentAt = 400), isSilent = true)
        expectThat(takenContents()).isEqualTo(listOf("cause", "beside"))
    }

    @Test
    fun `a caller that leaves does not mark the process as silent`() {
        broken.add(at(500), process, attempt("left"), isSilent = false)
        broken.add(at(900), process, attempt("later", sentAt = 600), isSilent = true)
        expectThat(takenContents()).isEqualTo(listOf("left", "later"))
    }

    @Test
    fun `forgets attempts after their retention and those of processes that leave`() {
        broken.add(at(500), process, attempt("a"), isSilent = false)
        broken.expire(at(10_501))
        expectThat(broken.processes).isEqualTo(emptySet())
        broken.add(at(11_000), process, attempt("a"), isSilent = false)
        broken.forget(process)
        expectThat(broken.takeAll(process)).isNull()
    }
}
