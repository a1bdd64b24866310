package oriolespindle.router.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import oriolespindle.core.id.InstanceId
import java.io.IOException
import java.security.SecureRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/**
 * Manages the connections to the other instances of the fleet.
 *
 * A connection is used only after mutual authentication with the fleet key. One connection to each peer carries
 * messages in both directions. Messages are not acknowledged: those in flight when a connection ends are lost, and
 * their senders repeat them. [onMessage] runs on the transport's thread and must not block.
 */
public class PeerTransport(
    private val identity: PeerIdentity,
    private val settings: PeerTransportSettings,
    private val onMessage: (InstanceId, PeerMessage) -> Unit,
    private val onPeerConnected: (PeerIdentity) -> Unit = {},
) : AutoCloseable {
    private val connectionThread = newDaemonExecutor("peers")
    private val selectorThread = newDaemonExecutor("peer-selector")
    private val selectorJob = Job()
    private val selector = SelectorManager(selectorThread.asCoroutineDispatcher() + selectorJob)
    private val job = SupervisorJob()
    private val scope = CoroutineScope(job + connectionThread.asCoroutineDispatcher())
    private val handshake = Handshake(identity, settings.fleetKey, SecureRandom())
    private val links = ConcurrentHashMap<InstanceId, PeerLink>()
    private val linkJobs = ConcurrentHashMap<InstanceId, Job>()
    private var unauthenticated = 0

    @Volatile
    private var closed = false

    /** Counters of this transport. */
    public val counters: PeerCounters = PeerCounters()

    /**
     * Starts accepting peers and returns the local port.
     *
     * @throws IOException if the address cannot be bound.
     */
    public fun start(): Int {
        val server =
            runBlocking {
                aSocket(selector).tcp().bind(settings.listenHost, settings.listenPort) { reuseAddress = true }
            }
        scope.launch { acceptAll(server) }
        return (server.localAddress as InetSocketAddress).port
    }

    /** Registers [peer] at [address], a numeric address and a port; the first message opens the connection. */
    public fun connect(
        peer: InstanceId,
        address: String,
    ) {
        if (peer == identity.instance || closed) return
        val link = links.computeIfAbsent(peer) { startLink(it, address) }
        link.address = address
    }

    /** Connects to [address], whose instance is not known yet, and retries with exponential backoff. */
    public fun connectToSeed(address: String) {
        scope.launch {
            var backoff = settings.initialBackoff
            while (true) {
                val connection = dial(address)
                if (connection != null) {
                    attach(connection)
                    return@launch
                }
                delay(backoff)
                backoff = minOf(backoff * 2, settings.maxBackoff)
            }
        }
    }

    /** Forgets [peer] and closes its connection. */
    public fun forget(peer: InstanceId) {
        links.remove(peer)
        linkJobs.remove(peer)?.cancel()
    }

    /** Queues [message] for [peer]. */
    public fun send(
        peer: InstanceId,
        message: PeerMessage,
    ): SendResult {
        if (closed) return SendResult.Closed
        val link = links[peer] ?: return SendResult.UnknownPeer
        return when (val frame = PeerCodec.encode(message)) {
            is EncodeResult.TooLarge -> {
                SendResult.TooLarge(frame.bytes)
            }

            is EncodeResult.Frame -> {
                val dropped = link.queue.offer(frame.bytes, message)
                counters.dropped.add(dropped.toLong())
                SendResult.Queued(dropped)
            }
        }
    }

    /**
     * Closes all connections and drops the queued messages. The listen address is free when it returns.
     *
     * It waits for the transport's threads, so it must not be called from [onMessage].
     */
    override fun close() {
        closed = true
        runBlocking {
            job.cancelAndJoin()
            selector.close()
            // A closed socket keeps its port until the selector has removed it.
            selectorJob.complete()
            selectorJob.join()
        }
        connectionThread.shutdown()
        selectorThread.shutdown()
    }

    private fun startLink(
        peer: InstanceId,
        address: String,
    ): PeerLink {
        val link = PeerLink(identity.instance, peer, address, settings, counters, onMessage)
        val linkJob = SupervisorJob(job)
        val linkScope = CoroutineScope(scope.coroutineContext + linkJob)
        linkJobs[peer] = linkJob
        link.runConnections(linkScope)
        linkScope.launch { link.dial(::dial) }
        return link
    }

    private suspend fun acceptAll(server: ServerSocket) {
        try {
            while (true) {
                val socket = acceptOrNull(server) ?: continue
                if (unauthenticated >= settings.maxUnauthenticated) {
                    socket.close()
                    continue
                }
                unauthenticated++
                scope.launch {
                    val connection = authenticate(socket, isInbound = true)
                    unauthenticated--
                    connection?.let(::attach)
                }
            }
        } finally {
            server.close()
        }
    }

    /** Returns null, after a delay, if accepting fails, for example because the process has no free file descriptor. */
    private suspend fun acceptOrNull(server: ServerSocket): Socket? =
        try {
            server.accept()
        } catch (e: IOException) {
            delay(settings.initialBackoff)
            null
        }

    private suspend fun dial(address: String): PeerConnection? {
        val target = PeerAddress.parseOrNull(address) ?: return null
        val socket = withTimeoutOrNull(settings.connectTimeout) { open(target) } ?: return null
        return authenticate(socket, isInbound = false)
    }

    private suspend fun open(target: PeerAddress): Socket? =
        try {
            aSocket(selector).tcp().connect(InetSocketAddress(target.host, target.port)) { noDelay = true }
        } catch (e: IOException) {
            null
        }

    private suspend fun authenticate(
        socket: Socket,
        isInbound: Boolean,
    ): PeerConnection? {
        val frames = FrameChannel(socket, counters)
        val peer =
            try {
                withTimeoutOrNull(settings.handshakeTimeout) {
                    if (isInbound) handshake.accept(frames) else handshake.connect(frames)
                }
            } catch (e: IOException) {
                null
            } catch (e: CancellationException) {
                socket.close()
                throw e
            }
        if (peer == null || peer.instance == identity.instance) {
            counters.unauthenticated.increment()
            socket.close()
            return null
        }
        return PeerConnection(frames, peer, isInbound, settings.silenceTimeout, counters)
    }

    private fun newDaemonExecutor(name: String): ExecutorService =
        Executors.newSingleThreadExecutor { task -> Thread(task, name).apply { isDaemon = true } }

    private fun attach(connection: PeerConnection) {
        val peer = connection.identity
        connect(peer.instance, peer.address)
        links[peer.instance]?.attach(connection)
        onPeerConnected(peer)
    }
}
