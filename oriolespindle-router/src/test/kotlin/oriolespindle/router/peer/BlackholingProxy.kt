package oriolespindle.router.peer

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/** A TCP proxy on loopback that can be made to drop all bytes of its open connections while new ones work. */
internal class BlackholingProxy(
    private val target: Int,
) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val blackholedFlags = CopyOnWriteArrayList<AtomicBoolean>()
    private val sockets = CopyOnWriteArrayList<Socket>()

    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) relay(server.accept())
            }
        }
    }

    fun blackholeOpenConnections() = blackholedFlags.forEach { it.set(true) }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun relay(client: Socket) {
        val upstream = Socket(InetAddress.getLoopbackAddress(), target)
        val isBlackholed = AtomicBoolean()
        blackholedFlags += isBlackholed
        sockets += listOf(client, upstream)
        copy(client, upstream, isBlackholed)
        copy(upstream, client, isBlackholed)
    }

    private fun copy(
        from: Socket,
        to: Socket,
        isBlackholed: AtomicBoolean,
    ) {
        thread(isDaemon = true) {
            runCatching {
                val buffer = ByteArray(8_192)
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0) break
                    if (!isBlackholed.get()) to.getOutputStream().write(buffer, 0, count)
                }
            }
            if (!isBlackholed.get()) runCatching { to.close() }
        }
    }
}
