package oriolespindle.router.http

import io.netty.channel.DefaultChannelId
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.days

class ConnectionPoolTest {
    private val pool = ConnectionPool(maxIdle = 1.days, maxIdlePerAddress = 2)
    private val address = Address("127.0.0.1", 80)
    private val older = EmbeddedChannel(DefaultChannelId.newInstance())
    private val newer = EmbeddedChannel(DefaultChannelId.newInstance())

    init {
        pool.put(address, older)
        pool.put(address, newer)
    }

    // Guards against a new connection while an idle one has not carried the request yet.
    @Test
    fun `takes another connection than those that carried the request and keeps these for other requests`() {
        val history = ConnectionHistory().also { it.add(newer) }

        expectThat(pool.take(address) { it !in history }).isEqualTo(older)
        expectThat(pool.take(address) { it !in history }).isNull()
        expectThat(pool.take(address)).isEqualTo(newer)
    }

    @Test
    fun `closes a connection that is no longer open and takes the next one`() {
        newer.close()

        expectThat(pool.take(address)).isEqualTo(older)
        expectThat(newer.isOpen).isFalse()
        expectThat(pool.take(address)).isNull()
    }
}
