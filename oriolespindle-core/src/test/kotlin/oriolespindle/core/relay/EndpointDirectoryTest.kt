package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndpointDirectoryTest {
    private val start = Timestamp.ZERO
    private val service = ServiceId("s")
    private val directory = EndpointDirectory()

    private fun endpoint(
        id: String,
        startedAt: Long = 1,
        isLeaving: Boolean = false,
        address: String = "10.0.0.1:80",
    ) = RelayEndpoint(EndpointId(id), service, address, ZoneId("z"), startedAt, slots = 4, isLeaving = isLeaving)

    private fun usable(at: Timestamp = start) = directory.usable(at, service).map { it.id.value }

    @Test
    fun `guards against a removed registration that is still used while the store answers`() {
        directory.replaceAll(start, listOf(endpoint("a"), endpoint("b")))
        directory.remove(start, EndpointId("a"))

        expectThat(usable()).containsExactly("b")
    }

    @Test
    fun `guards against losing endpoints whose registrations lapsed with the store`() {
        directory.replaceAll(start, listOf(endpoint("a"), endpoint("b")))
        directory.onStoreLost()
        directory.remove(start, EndpointId("a"))
        val back = start + 10.seconds
        directory.onStoreRecovered(back)
        directory.replaceAll(back, emptyList())

        expectThat(usable(back + 2.seconds).sorted()).containsExactly("a", "b")
        directory.put(endpoint("a"))
        expectThat(usable(back + 3.seconds)).containsExactly("a")
    }

    @Test
    fun `guards against sending to an endpoint that left after it was selected`() {
        val selected = endpoint("a")
        directory.put(selected)
        directory.onRefusal(start, selected.id)
        expectThat(directory.isInUse(start, selected)).isTrue()

        directory.put(endpoint("a", isLeaving = true))
        expectThat(directory.isInUse(start, selected)).isFalse()
        directory.put(endpoint("a", startedAt = 2))
        expectThat(directory.isInUse(start, selected)).isFalse()
        directory.remove(start, selected.id)
        expectThat(directory.isInUse(start, endpoint("a", startedAt = 2))).isFalse()
    }

    @Test
    fun `uses only the last started of several registrations at one address`() {
        directory.replaceAll(start, listOf(endpoint("old", startedAt = 1), endpoint("new", startedAt = 2)))
        expectThat(usable()).containsExactly("new")
        expectThat(directory.registered(start, service).map { it.id.value }).containsExactly("new")

        val other = endpoint("other", startedAt = 3).copy(service = ServiceId("t"))
        directory.put(other)
        expectThat(usable()).isEmpty()

        directory.remove(start, other.id)
        expectThat(usable()).containsExactly("new")
    }

    @Test
    fun `avoids an endpoint that another instance reports, unless the report is about an earlier process`() {
        val a = EndpointId("a")
        directory.put(endpoint("a", startedAt = 2))
        directory.onSharedRefusal(start, SharedRefusal(a, startedAt = 1))
        expectThat(usable()).containsExactly("a")

        directory.onSharedRefusal(start, SharedRefusal(a, startedAt = 2))
        expectThat(usable()).isEmpty()
        expectThat(usable(start + 100.milliseconds)).containsExactly("a")
    }

    @Test
    fun `shares what an engine reports about another one, at most once in each interval`() {
        val sharing = RefusalSharing(minInterval = 100.milliseconds)
        val first = endpoint("a")
        val faulty = endpoint("b", startedAt = 5)

        expectThat(sharing.onRefusal(start, first, first)).isNull()
        expectThat(sharing.onRefusal(start, first, faulty)).isEqualTo(SharedRefusal(faulty.id, 5))
        expectThat(sharing.onRefusal(start + 99.milliseconds, first, faulty)).isNull()
        expectThat(sharing.onRefusal(start + 100.milliseconds, first, faulty)).isNotNull()
    }

    @Test
    fun `guards against sending to an endpoint that refuses while it finishes earlier requests`() {
        val a = EndpointId("a")
        directory.put(endpoint("a"))
        directory.onRefusal(start + 10.milliseconds, a)
        directory.onSuccess(a, sentAt = start)

        expectThat(usable(start + 100.milliseconds)).isEmpty()
        expectThat(usable(start + 110.milliseconds)).containsExactly("a")

        directory.onRefusal(start + 110.milliseconds, a)
        directory.onSuccess(a, sentAt = start)
        expectThat(usable(start + 300.milliseconds)).isEmpty()
        expectThat(usable(start + 310.milliseconds)).containsExactly("a")
    }

    @Test
    fun `guards against avoiding an endpoint that accepts requests again`() {
        val a = EndpointId("a")
        directory.put(endpoint("a"))
        directory.onRefusal(start, a)
        directory.onRefusal(start + 100.milliseconds, a)
        directory.onSuccess(a, sentAt = start + 101.milliseconds)

        expectThat(usable(start + 102.milliseconds)).containsExactly("a")
        directory.onRefusal(start + 103.milliseconds, a)
        expectThat(usable(start + 203.milliseconds)).containsExactly("a")
    }

    @Test
    fun `guards against an older registration restoring an endpoint that leaves`() {
        directory.put(endpoint("a"))
        directory.put(endpoint("a", isLeaving = true))
        directory.put(endpoint("a"))
        expectThat(usable()).isEmpty()

        directory.put(endpoint("a", startedAt = 2))
        expectThat(usable()).containsExactly("a")
        directory.put(endpoint("a", startedAt = 1, isLeaving = true))
        expectThat(usable()).containsExactly("a")
    }

    @Test
    fun `guards against a failed endpoint being tried at once, or never again`() {
        directory.put(endpoint("a"))
        directory.onFailure(start, EndpointId("a"))

        expectThat(usable(start + 90.milliseconds)).isEmpty()
        expectThat(usable(start + 100.milliseconds)).containsExactly("a")
        directory.onFailure(start + 100.milliseconds, EndpointId("a"))
        expectThat(usable(start + 250.milliseconds)).isEmpty()
        directory.onSuccess(EndpointId("a"), sentAt = start)
        expectThat(usable(start + 250.milliseconds)).containsExactly("a")
    }

    @Test
    fun `guards against streams going to an endpoint that others report as lost, until it has restarted`() {
        directory.put(endpoint("a"))
        directory.onReportedLost(start, EndpointId("a"))

        expectThat(usable(start + 2_900.milliseconds)).isEmpty()
        directory.put(endpoint("a", startedAt = 2))
        expectThat(usable(start + 2_900.milliseconds)).containsExactly("a")
    }

    @Test
    fun `guards against streams going to an endpoint that answers without end, while earlier ones progress`() {
        val a = EndpointId("a")
        directory.put(endpoint("a"))
        directory.onEndlessAnswer(start + 10.milliseconds, a)
        directory.onSuccess(a, sentAt = start)
        expectThat(usable(start + 3_000.milliseconds)).isEmpty()

        expectThat(usable(start + 3_010.milliseconds)).containsExactly("a")
        directory.onEndlessAnswer(start + 3_010.milliseconds, a)
        directory.put(endpoint("a", startedAt = 2))
        expectThat(usable(start + 3_010.milliseconds)).containsExactly("a")
    }

    @Test
    fun `guards against a failure backoff that grows without bound`() {
        directory.put(endpoint("a"))
        var now = start
        repeat(20) {
            directory.onFailure(now, EndpointId("a"))
            now = now + 2.seconds
        }

        expectThat(usable(now)).containsExactly("a")
    }

    @Test
    fun `guards against finding the former endpoint of an address instead of the current one`() {
        directory.put(endpoint("old", startedAt = 1))
        directory.put(endpoint("new", startedAt = 5))

        expectThat(directory.findByAddress("10.0.0.1:80")?.id?.value).isEqualTo("new")
    }

    @Test
    fun `tells processes that are gone from those that leave and those that may only have lapsed`() {
        val process = endpoint("a")
        val state = { at: Timestamp -> directory.registrationState(at, process) }
        expectThat(state(start)).isEqualTo(RegistrationState.GONE)
        directory.put(process)
        expectThat(state(start)).isEqualTo(RegistrationState.IN_USE)
        directory.onStoreLost()
        directory.remove(start, process.id)
        expectThat(state(start + 9.seconds)).isEqualTo(RegistrationState.IN_USE)
        directory.onStoreRecovered(start + 9.seconds)
        expectThat(state(start + 11.seconds)).isEqualTo(RegistrationState.IN_USE)
        expectThat(state(start + 12.seconds)).isEqualTo(RegistrationState.GONE)

        directory.put(endpoint("a", isLeaving = true))
        expectThat(state(start)).isEqualTo(RegistrationState.LEAVING)
        directory.put(endpoint("a", startedAt = 2))
        expectThat(state(start)).isEqualTo(RegistrationState.GONE)
    }

    @Test
    fun `a process is gone when another one has registered at its address`() {
        directory.put(endpoint("old"))
        directory.put(endpoint("new", startedAt = 2))
        expectThat(directory.registrationState(start, endpoint("old"))).isEqualTo(RegistrationState.GONE)
        expectThat(
            directory.registrationState(start, endpoint("new", startedAt = 2)),
        ).isEqualTo(RegistrationState.IN_USE)
    }
}
