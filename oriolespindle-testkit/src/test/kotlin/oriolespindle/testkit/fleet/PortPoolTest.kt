package oriolespindle.testkit.fleet

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

class PortPoolTest {
    /** A pool shares nothing with [FreePorts], like that of another process; its first candidate is [first]. */
    private fun poolThatTries(first: Int) =
        PortPool((sequenceOf(first) + generateSequence { Random.nextInt(20_000, 32_000) }).iterator()::next)

    @Test
    fun `guards against a port that two processes are given before either binds it`() {
        val port = FreePorts.take()

        expectThat(poolThatTries(port).take()).isNotEqualTo(port)
    }

    @Test
    fun `a port that was given can be bound`() {
        val port = FreePorts.take()
        val bound = ServerSocket(port, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

        expectThat(bound).isEqualTo(port)
    }

    @Test
    fun `a port with a listener is not given`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
            expectThat(poolThatTries(it.localPort).take()).isNotEqualTo(it.localPort)
        }
    }
}
