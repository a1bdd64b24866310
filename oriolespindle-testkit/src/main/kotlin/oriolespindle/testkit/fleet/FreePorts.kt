package oriolespindle.testkit.fleet

import java.io.IOException
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ThreadLocalRandom

/** Below the usual range of ephemeral ports, so that no outgoing connection takes a port before its owner binds it. */
private const val FIRST_PORT = 20_000
private const val END_PORT = 32_000
private const val ATTEMPTS = 1000

/** Hands out loopback ports that are free now, each at most once while a process that uses this object runs. */
public object FreePorts {
    private val pool = PortPool { ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT) }

    /** Returns a TCP port that nobody listens on. */
    public fun take(): Int = pool.take()
}

/**
 * Hands out those of [candidates] that nobody listens on.
 *
 * It keeps a datagram socket bound to each port, which leaves the port free for its owner's TCP listener and tells the
 * pools of other processes that it is given.
 */
internal class PortPool(
    private val candidates: () -> Int,
) {
    private val reservations = ConcurrentHashMap<Int, DatagramSocket>()

    fun take(): Int {
        repeat(ATTEMPTS) {
            val port = candidates()
            val reservation = reserve(port) ?: return@repeat
            if (isFree(port)) {
                reservations[port] = reservation
                return port
            }
            reservation.close()
        }
        error("no free port in $ATTEMPTS attempts")
    }

    private fun reserve(port: Int): DatagramSocket? =
        try {
            DatagramSocket(InetSocketAddress(InetAddress.getLoopbackAddress(), port))
        } catch (_: IOException) {
            // Another pool has given the port, or something receives datagrams there.
            null
        }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
