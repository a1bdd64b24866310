package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

/** An answer of an endpoint says that its process leaves, before or without the registration. */
class LeavingAnswerTest {
    private val start = Timestamp.ZERO
    private val service = ServiceId("s")
    private val directory = EndpointDirectory()
    private val process = endpoint(startedAt = 1)

    private fun endpoint(startedAt: Long) =
        RelayEndpoint(EndpointId("a"), service, "10.0.0.1:80", ZoneId("z"), startedAt, slots = 4)

    private fun usable(at: Timestamp = start) = directory.usable(at, service).map { it.startedAt }

    @Test
    fun `guards against sending to a process that leaves and is listed again without the flag`() {
        directory.put(process)
        expectThat(directory.onLeaving(process)).isTrue()
        expectThat(directory.onLeaving(process)).isFalse()

        directory.replaceAll(start, listOf(process))
        directory.put(process.copy(slots = 5))
        expectThat(usable()).isEmpty()
        expectThat(directory.isInUse(start, process)).isFalse()
        expectThat(directory.registered(start, service).map { it.isLeaving }).containsExactly(true)
    }

    @Test
    fun `guards against sending to a process that leaves after the store is lost`() {
        directory.put(process)
        directory.onStoreLost()
        directory.remove(start, process.id)
        directory.onLeaving(process)
        directory.onStoreRecovered(start + 10.seconds)
        directory.put(process)

        expectThat(usable(start + 11.seconds)).isEmpty()
    }

    @Test
    fun `guards against avoiding the next process of an endpoint, or one that was registered anew`() {
        directory.put(process)
        directory.onLeaving(process)
        directory.put(endpoint(startedAt = 2))
        expectThat(directory.onLeaving(process)).isFalse()
        expectThat(usable()).containsExactly(2)

        directory.onLeaving(endpoint(startedAt = 2))
        directory.remove(start, process.id)
        directory.put(endpoint(startedAt = 2))
        expectThat(usable()).containsExactly(2)
    }
}
