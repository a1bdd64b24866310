package oriolespindle.core.lifecycle

import org.junit.jupiter.api.Test
import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoppingPeersTest {
    private val stopping = StoppingPeers(ttl = 3.seconds)
    private val start = Timestamp.ZERO

    @Test
    fun `an instance without others in its zone has none that are ready`() {
        stopping.onStopping(start, InstanceId("a"))
        expectThat(stopping.readyShare(start)).isEqualTo(0.0)
    }

    @Test
    fun `an instance counts as stopping until its announcement is too old`() {
        stopping.peers = setOf(InstanceId("a"), InstanceId("b"))
        expectThat(stopping.readyShare(start)).isEqualTo(1.0)
        stopping.onStopping(start, InstanceId("a"))
        stopping.onStopping(start + 1.seconds, InstanceId("a"))
        expectThat(stopping.readyShare(start + 1.seconds)).isEqualTo(0.5)
        expectThat(stopping.readyShare(start + 3_900.milliseconds)).isEqualTo(0.5)
        expectThat(stopping.readyShare(start + 4.seconds)).isEqualTo(1.0)
    }

    @Test
    fun `announcements of instances that are no peers do not count`() {
        stopping.peers = setOf(InstanceId("a"), InstanceId("b"))
        listOf("a", "c").forEach { stopping.onStopping(start, InstanceId(it)) }
        expectThat(stopping.readyShare(start)).isEqualTo(0.5)

        stopping.peers = setOf(InstanceId("b"))
        expectThat(stopping.readyShare(start)).isEqualTo(1.0)
    }
}
