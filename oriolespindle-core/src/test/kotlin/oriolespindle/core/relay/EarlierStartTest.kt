package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.config.Revision
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

/** An endpoint restarts after its clock was set back, so that its new process seems to have started earlier. */
class EarlierStartTest {
    private val now = Timestamp.ZERO
    private val service = ServiceId("s")
    private val directory = EndpointDirectory()

    private fun endpoint(
        revision: Long,
        startedAt: Long,
        id: String = "a",
        isLeaving: Boolean = false,
        layers: LayerRange? = null,
    ) = RelayEndpoint(
        id = EndpointId(id),
        service = service,
        address = "10.0.0.1:80",
        zone = ZoneId("z"),
        startedAt = startedAt,
        slots = 4,
        isLeaving = isLeaving,
        layers = layers,
        revision = Revision(revision),
    )

    private fun usable() = directory.usable(now, service).map { it.id.value }

    // The registrations of the new process were ignored, also the one that said that it leaves.
    @Test
    fun `guards against sending to an endpoint that leaves after a restart with an earlier start`() {
        directory.put(endpoint(revision = 10, startedAt = 2_000, layers = LayerRange(0, 4)))
        directory.onLeaving(endpoint(revision = 10, startedAt = 2_000))

        expectThat(directory.put(endpoint(revision = 11, startedAt = 500))).isEqualTo(RegistrationChange.ADDED)
        expectThat(usable()).containsExactly("a")
        expectThat(directory.find(EndpointId("a"))?.layers).isNull()
        expectThat(directory.put(endpoint(revision = 12, startedAt = 500, isLeaving = true)))
            .isEqualTo(RegistrationChange.LEAVING)
        expectThat(usable()).isEmpty()
        expectThat(directory.isInUse(now, endpoint(revision = 11, startedAt = 500))).isFalse()
    }

    @Test
    fun `guards against keeping what concerned the former process of an endpoint`() {
        val former = endpoint(revision = 10, startedAt = 2_000)
        directory.put(former)
        directory.onPauseRequested(now, former, 60.seconds)
        directory.put(endpoint(revision = 11, startedAt = 500))
        directory.onSharedRefusal(now, SharedRefusal(former.id, former.startedAt))
        directory.onPauseRequested(now, former, 60.seconds)

        expectThat(directory.onLeaving(former)).isFalse()
        expectThat(usable()).containsExactly("a")
    }

    @Test
    fun `guards against an older registration that arrives after a newer one with an earlier start`() {
        directory.put(endpoint(revision = 12, startedAt = 500, isLeaving = true))

        expectThat(directory.put(endpoint(revision = 10, startedAt = 2_000))).isEqualTo(RegistrationChange.IGNORED)
        expectThat(directory.put(endpoint(revision = 11, startedAt = 500))).isEqualTo(RegistrationChange.IGNORED)
        directory.replaceAll(now, listOf(endpoint(revision = 10, startedAt = 2_000)))
        expectThat(usable()).isEmpty()
    }

    @Test
    fun `guards against taking an endpoint out of use after its clock was set back and forth`() {
        for ((revision, startedAt) in listOf(10L to 2_000L, 11L to 500L, 12L to 3_000L, 13L to 900L)) {
            expectThat(directory.put(endpoint(revision, startedAt))).isEqualTo(RegistrationChange.ADDED)
            expectThat(usable()).containsExactly("a")
        }
        directory.replaceAll(now, listOf(endpoint(revision = 14, startedAt = 100)))
        expectThat(directory.isInUse(now, endpoint(revision = 14, startedAt = 100))).isTrue()
    }

    // The process that ended was used, since it seemed to be the last one that had started at the address.
    @Test
    fun `guards against using the former process of an address after the clock was set back`() {
        directory.put(endpoint(revision = 10, startedAt = 2_000, id = "old"))
        directory.put(endpoint(revision = 11, startedAt = 500, id = "new"))
        expectThat(usable()).containsExactly("new")
        expectThat(directory.findByAddress("10.0.0.1:80")?.id?.value).isEqualTo("new")

        // A write of the former process that the store applies late.
        directory.put(endpoint(revision = 12, startedAt = 2_000, id = "old", isLeaving = true))
        expectThat(usable()).containsExactly("new")
    }
}
