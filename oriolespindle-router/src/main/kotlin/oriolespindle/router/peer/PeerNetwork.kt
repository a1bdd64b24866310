package oriolespindle.router.peer

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.router.settings.Settings
import oriolespindle.router.state.PeerSender

/** The [PeerTransport] of this instance, created from the settings of the process. */
internal class PeerNetwork(
    private val settings: Settings,
    onMessage: (InstanceId, PeerMessage) -> Unit,
    onPeerConnected: (PeerIdentity) -> Unit,
) : PeerSender,
    AutoCloseable {
    private val transport =
        PeerTransport(
            identity = identity(settings.instance, settings.zone),
            settings =
                PeerTransportSettings(
                    listenHost = settings.peers.host,
                    listenPort = settings.peers.port,
                    fleetKey = FleetKey(settings.fleetKey.value.toByteArray()),
                ),
            onMessage = onMessage,
            onPeerConnected = onPeerConnected,
        )

    /** Starts accepting peers and connects to the seed peers. */
    fun start() {
        transport.start()
        settings.seedPeers.forEach { transport.connectToSeed(it.toString()) }
    }

    override fun connect(
        peer: InstanceId,
        address: String,
    ) = transport.connect(peer, address)

    override fun send(
        peer: InstanceId,
        message: PeerMessage,
    ) {
        // A peer that is not known yet is treated like an unresponsive one: senders repeat the messages that matter.
        transport.send(peer, message)
    }

    override fun forget(peer: InstanceId) = transport.forget(peer)

    override fun close() = transport.close()

    private fun identity(
        instance: InstanceId,
        zone: ZoneId,
    ) = PeerIdentity(instance, incarnation = 0, zone = zone, address = settings.peers.toString())
}
