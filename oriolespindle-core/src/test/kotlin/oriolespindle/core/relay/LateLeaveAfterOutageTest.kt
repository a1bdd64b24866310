package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests at an endpoint that left without notice shortly after an outage of the store. */
class LateLeaveAfterOutageTest {
    private val start = Timestamp.ZERO
    private val drainLimit = 2.seconds
    private val service = ServiceId("s")
    private val endpoint =
        RelayEndpoint(EndpointId("a"), service, "10.0.0.1:80", ZoneId("z"), startedAt = 1, slots = 4)
    private val directory = EndpointDirectory()

    private fun usable(at: Timestamp) = directory.usable(at, service).map { it.id.value }

    @Test
    fun `a removal that is reported after the store has returned`() {
        directory.replaceAll(start, listOf(endpoint))
        directory.onStoreLost()
        val back = start + 5.seconds
        directory.onStoreRecovered(back)
        directory.onConfirmed(back)
        val removed = back + 10.milliseconds
        directory.remove(removed, endpoint.id)

        expectThat(usable(removed + drainLimit)).isEmpty()
    }

    @Test
    fun `a removal between the return and the first answer, which may as well be a lapse`() {
        directory.replaceAll(start, listOf(endpoint))
        directory.onStoreLost()
        val back = start + 5.seconds
        directory.onStoreRecovered(back)
        directory.remove(back, endpoint.id)
        directory.onConfirmed(back)

        expectThat(usable(back + drainLimit)).containsExactly("a")
        expectThat(usable(back + 2_200.milliseconds)).isEmpty()
    }
}
