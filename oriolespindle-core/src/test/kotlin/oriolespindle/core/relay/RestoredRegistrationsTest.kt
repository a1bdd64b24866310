package oriolespindle.core.relay

import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoreEra
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against registrations that are lost, taken for older ones or believed again when the store was restored. */
class RestoredRegistrationsTest {
    private val start = Timestamp.ZERO
    private val service = ServiceId("s")
    private val directory = EndpointDirectory()
    private val a = registration("a", 10)
    private val b = registration("b", 30)

    @BeforeEach
    fun register() {
        directory.replaceAll(start, listOf(a))
        directory.put(b)
    }

    private fun registration(
        id: String,
        revision: Long,
        era: Long = 1,
        startedAt: Long = 1,
        address: String = "10.0.0.1:${id.hashCode()}",
        isLeaving: Boolean = false,
    ) = RelayEndpoint(
        id = EndpointId(id),
        service = service,
        address = address,
        zone = ZoneId("z"),
        startedAt = startedAt,
        slots = 4,
        isLeaving = isLeaving,
        revision = Revision(revision, StoreEra(era)),
    )

    private fun restore(vararg listed: RelayEndpoint) {
        directory.onStoreRestored(start)
        directory.replaceAll(start, listed.toList())
        directory.onConfirmed(start)
    }

    private fun usable(now: Timestamp = start) = directory.usable(now, service).map { it.id.value }

    private fun used(now: Timestamp = start) = directory.usable(now, service).map { it.address to it.startedAt }

    @Test
    fun `an endpoint that a restored store lacks was dropped although it registered again`() {
        restore(registration("a", 10, era = 2))
        expectThat(usable(start + 2.seconds)).containsExactlyInAnyOrder("a", "b")

        directory.put(registration("b", 12, era = 2))
        expectThat(usable(start + 10.seconds)).containsExactlyInAnyOrder("a", "b")
        directory.put(registration("b", 13, era = 2, isLeaving = true))
        expectThat(usable(start + 10.seconds)).containsExactly("a")
    }

    @Test
    fun `an endpoint that does not register again after the store was restored stayed in use`() {
        restore(registration("a", 10, era = 2))
        expectThat(usable(start + 2_200.milliseconds)).containsExactly("a")
    }

    // The new process is not in the copy, and the list says again what the process before it had registered.
    @Test
    fun `a process that had ended replaced its successor when the store was restored`() {
        directory.put(registration("a", 40, startedAt = 2, address = "10.0.0.9:80"))
        restore(registration("a", 10, era = 2), registration("b", 11, era = 2))

        val successor = "10.0.0.9:80" to 2L
        expectThat(used().first { it.second == 2L }).isEqualTo(successor)
        directory.put(registration("a", 12, era = 2, startedAt = 2, address = "10.0.0.9:80"))
        expectThat(used(start + 10.seconds).first { it.second == 2L }).isEqualTo(successor)
    }

    // The directory had missed the start of the process that the copy has.
    @Test
    fun `a process in a restored store was not used after the one that was known had not registered again`() {
        val other = registration("a", 25, era = 2, startedAt = 2, address = "10.0.0.9:80")
        restore(other, registration("b", 26, era = 2))
        expectThat(used(start + 2_200.milliseconds)).containsExactlyInAnyOrder("10.0.0.9:80" to 2L, b.address to 1L)
    }

    @Test
    fun `an ended endpoint of a restored store kept requests from the one that has its address now`() {
        directory.remove(start, a.id)
        directory.put(registration("c", 40, address = a.address))
        restore(registration("a", 10, era = 2), registration("b", 11, era = 2))
        expectThat(usable()).containsExactlyInAnyOrder("b", "c")

        directory.put(registration("c", 12, era = 2, address = a.address))
        directory.put(registration("a", 13, era = 2))
        expectThat(usable(start + 10.seconds)).containsExactlyInAnyOrder("b", "c")
    }

    @Test
    fun `an endpoint that had left was used again when the store was restored`() {
        directory.put(registration("a", 40, isLeaving = true))
        directory.remove(start, a.id)
        restore(registration("a", 10, era = 2), registration("b", 11, era = 2))
        expectThat(usable()).containsExactly("b")

        directory.replaceAll(start + 1.seconds, emptyList())
        expectThat(usable(start + 3.seconds)).isEmpty()
    }

    @Test
    fun `a registration of an earlier era replaced a present one`() {
        restore(registration("a", 10, era = 2), registration("b", 11, era = 2))
        expectThat(directory.put(registration("a", 90, isLeaving = true))).isEqualTo(RegistrationChange.IGNORED)
        expectThat(usable()).containsExactlyInAnyOrder("a", "b")
    }
}
