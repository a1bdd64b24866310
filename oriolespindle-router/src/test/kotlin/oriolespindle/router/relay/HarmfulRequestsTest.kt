package oriolespindle.router.relay

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.crash.CrashNews
import oriolespindle.core.crash.RequestTrait
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class HarmfulRequestsTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val sent = ArrayList<CrashNews>()
    private val harmful = HarmfulRequests(TimerService(group.next()), RelayMetrics(), sent::add) {}

    @AfterEach
    fun close() {
        group.shutdownGracefully()
    }

    private fun crash(
        number: Int,
        vararg requests: Set<RequestTrait>,
    ) {
        val endpoint = RelayEndpoint(EndpointId("e$number"), ServiceId("s"), "10.0.0.1:80", ZoneId("z"), 1, slots = 4)
        val at = monotonicNow() + 100.milliseconds * number
        harmful.onCrash(EndpointCrash(endpoint, at, requests.toList(), begun = emptyList()))
    }

    private fun traits(vararg names: String): Set<RequestTrait> = names.mapTo(LinkedHashSet()) { RequestTrait(it) }

    // What instances that start later must know was taken for stored, although the store had lost it.
    @Test
    fun `ends of endpoints were taken for stored after the store was restored from an older copy`() {
        crash(1, traits("bad", "c1"))
        crash(2, traits("bad", "c2"))
        val news = harmful.unstoredNews()
        harmful.onStored("i1", checkNotNull(news), Duration.ZERO)
        expectThat(harmful.unstoredNews()).isNull()

        harmful.onStoreRestored()
        expectThat(harmful.unstoredNews()).isNotNull().get { crashes.size }.isEqualTo(2)
    }
}
