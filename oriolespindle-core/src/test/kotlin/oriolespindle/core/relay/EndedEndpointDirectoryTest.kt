package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against streams to a process that has ended, and against keeping them from its successor. */
class EndedEndpointDirectoryTest {
    private val directory = EndpointDirectory()
    private val service = ServiceId("s")
    private val now = Timestamp.ZERO + 10.seconds
    private val endpoint = RelayEndpoint(EndpointId("e"), service, "127.0.0.1:1", ZoneId("z"), startedAt = 1, slots = 8)

    private fun isUsable(at: Timestamp = now) = directory.usable(at, service).isNotEmpty()

    @Test
    fun `an ended process is not used again until another one registers or it listens`() {
        directory.put(endpoint)
        directory.onEnded(endpoint.copy(startedAt = 2))
        expectThat(isUsable()).isTrue()
        directory.onEnded(endpoint)
        directory.onSuccess(endpoint.id, sentAt = now)
        expectThat(isUsable(now + 60.seconds)).isFalse()
        expectThat(directory.isInUse(now, endpoint)).isFalse()
        expectThat(directory.registrationState(now, endpoint)).isEqualTo(RegistrationState.IN_USE)
        directory.onListening(endpoint)
        expectThat(isUsable()).isTrue()
        directory.onEnded(endpoint)
        directory.put(endpoint.copy(startedAt = 2))
        expectThat(isUsable()).isTrue()
    }

    @Test
    fun `a silent endpoint is not used for a second, and a longer backoff stays`() {
        directory.put(endpoint)
        expectThat(directory.onSilent(now, endpoint.id, 1.seconds)).isTrue()
        expectThat(isUsable(now + 999.milliseconds)).isFalse()
        expectThat(isUsable(now + 1.seconds)).isTrue()
        directory.onReportedLost(now, endpoint.id)
        expectThat(directory.onSilent(now, endpoint.id, 1.seconds)).isFalse()
        expectThat(isUsable(now + 2.seconds)).isFalse()
    }
}
