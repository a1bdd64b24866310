package oriolespindle.router

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import kotlinx.serialization.json.JsonObject
import oriolespindle.core.config.StoredObject
import oriolespindle.core.contract.KeyDigest
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.RequestId
import oriolespindle.core.lifecycle.ShutdownAction
import oriolespindle.core.lifecycle.ShutdownSettings
import oriolespindle.core.membership.Member
import oriolespindle.core.membership.MemberState
import oriolespindle.router.administration.AdministrationApi
import oriolespindle.router.administration.ObjectApi
import oriolespindle.router.administration.OperatorValue
import oriolespindle.router.administration.Operators
import oriolespindle.router.administration.StatusReport
import oriolespindle.router.endpoint.LoadPoller
import oriolespindle.router.http.ConnectionObserver
import oriolespindle.router.http.HttpClient
import oriolespindle.router.http.HttpServer
import oriolespindle.router.lifecycle.ShutdownCoordinator
import oriolespindle.router.logging.EventLog
import oriolespindle.router.metrics.Metrics
import oriolespindle.router.order.OrderComponent
import oriolespindle.router.peer.PeerMessage
import oriolespindle.router.peer.PeerNetwork
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.platform.PlatformInstance
import oriolespindle.router.request.ModelRoutes
import oriolespindle.router.request.RequestComponent
import oriolespindle.router.request.RequestContext
import oriolespindle.router.request.RequestListeners
import oriolespindle.router.request.RequestMessage
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.settings.Settings
import oriolespindle.router.state.StateComponent
import oriolespindle.router.state.StateListeners
import java.io.File
import java.util.concurrent.Executors
import java.util.random.RandomGenerator
import kotlin.time.Duration.Companion.milliseconds

/** One instance of the router: creates its servers and components and connects them. */
internal class Router(
    private val settings: Settings,
    private val onStopped: () -> Unit,
) {
    private val eventLoops = MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory())
    private val metrics = Metrics()
    private val timers = TimerService()
    private val http = HttpClient(eventLoops, onFault = metrics::answerFault)
    private val platform = PlatformClient(http, settings.platform, settings.platformTimeout, metrics::platformCall)
    private val planExecutor = Executors.newSingleThreadExecutor { Thread(it, "planning").apply { isDaemon = true } }
    private val operators = Operators(settings.operatorToken?.let { KeyDigest.of(it.value) })
    private val shutdown = ShutdownCoordinator(shutdownSettings(), timers, ::perform)
    private val orders = OrderComponent(settings.instance, http, platform, timers)
    private val requests: RequestComponent = requestComponent()
    private val peers =
        PeerNetwork(settings, { from, message -> state.onPeerMessage(from, message) }, { state.onPeerConnected(it) })
    private val state: StateComponent =
        StateComponent(platform, timers, ownRegistration(), newRandom(), metrics, peers, stateListeners())
    private val poller =
        LoadPoller(http, settings.loadPollInterval * POLL_TIMEOUT_FACTOR) { endpoint, answer ->
            requests.onLoadPolled(RequestMessage.Load(endpoint, answer))
        }
    private val tls = serverTls()
    private val callerServer =
        HttpServer(eventLoops, tls = tls, observer = CallerObserver(), handler = requests::onRequest)
    private val administrationApi = AdministrationApi(metrics, operators, ObjectApi(state), state, ::isReady, ::status)
    private val administrationServer = HttpServer(eventLoops, tls = tls, handler = administrationApi::handle)

    @Volatile
    private var liveInstances: Set<InstanceId> = emptySet()

    fun start() {
        requests.start()
        orders.start()
        peers.start()
        state.start()
        val callerAddress = callerServer.bind(settings.callers)
        val administrationAddress = administrationServer.bind(settings.administration)
        EventLog.info(
            "instance started",
            "instance" to settings.instance,
            "zone" to settings.zone,
            "callers" to callerAddress,
            "administration" to administrationAddress,
        )
        timers.every(settings.loadPollInterval) { requests.pollLoads(poller) }
        timers.every(settings.loadPollInterval) { http.closeExpired() }
    }

    /** Starts a graceful shutdown; `onStopped` is called when every request in flight has been answered. */
    fun shutDown() {
        EventLog.info("shutdown requested", "instance" to settings.instance)
        shutdown.requestShutdown()
    }

    private fun isReady(): Boolean = requests.isReady && state.isSupplied && shutdown.isReady

    /** Collects the status of each component on that component's own thread. */
    private fun status(answer: (JsonObject) -> Unit) {
        state.report { configuration ->
            requests.status { routing ->
                orders.status { answer(StatusReport.of(settings, configuration, routing, it)) }
            }
        }
    }

    private fun requestComponent(): RequestComponent {
        val random = newRandom()
        return RequestComponent(
            metrics = metrics,
            jitter = random::nextDouble,
            isLive = { it in liveInstances },
            listeners =
                RequestListeners(
                    onContracts = { state.onContractsChanged(it) },
                    onUsage = { state.onUsageReported(it) },
                    onAvailability = orders::onAvailabilityChanged,
                    onCrashEvidence = { state.broadcast(PeerMessage.Evidence(it)) },
                    onDemand = { state.broadcast(PeerMessage.Demand(it)) },
                ),
            createContext = ::requestContext,
            createRoutes = { context, onPlanned -> modelRoutes(context, random, onPlanned) },
        )
    }

    private fun stateListeners(): StateListeners =
        StateListeners(
            onChanged = ::onConfigurationChanged,
            onInstancesListed = requests::onPlatformList,
            onOperators = ::onOperatorsChanged,
            onMembersChanged = ::onMembersChanged,
            onSharesChanged = requests::onShareUpdate,
            onPaused = ::onWokeFromPause,
            onRemoved = ::onRemoved,
            onDemand = requests::onDemandReport,
            onEvidence = requests::onCrashEvidence,
        )

    /** Offers changes to the request component first, because it can reject them for now and get them again. */
    private fun onConfigurationChanged(items: List<StoredObject>): Boolean {
        if (!requests.offerChanges(items)) return false
        orders.onObjectsChanged(items)
        return true
    }

    private fun onMembersChanged(members: List<Member>) {
        liveInstances = members.filter { it.record.state < MemberState.DEAD }.mapTo(HashSet()) { it.id }
        orders.onMembersChanged(members)
    }

    private fun onWokeFromPause() {
        requests.onWokeFromPause()
        orders.wokeFromPause()
    }

    /** Shuts down, since the platform has removed this instance and assigned its units to other instances. */
    private fun onRemoved() {
        EventLog.warn("this instance was removed from the allotment", "instance" to settings.instance)
        shutDown()
    }

    private fun onOperatorsChanged(items: List<StoredObject>) {
        operators.replace(items.mapNotNull { item -> item.value?.let(OperatorValue::parseOrNull) })
    }

    private fun perform(action: ShutdownAction) {
        when (action) {
            is ShutdownAction.ReportUnready -> {
                callerServer.closing = true
                state.leave()
                orders.stop()
                platform.register(ownRegistration().copy(state = "leaving")) { }
            }

            is ShutdownAction.StopAccepting -> {
                callerServer.stopAccepting()
            }

            is ShutdownAction.CloseIdle -> {
                callerServer.closeIdleConnections(action.idleFor)
            }

            is ShutdownAction.EndRequests -> {
                EventLog.warn(
                    "requests are ended before the process is killed",
                    "instance" to settings.instance,
                    "in_flight" to shutdown.requestsInFlight,
                )
                requests.endRequests()
            }

            is ShutdownAction.Exit -> {
                EventLog.info("instance stopped", "instance" to settings.instance)
                onStopped()
            }
        }
    }

    private fun serverTls(): SslContext? {
        val certificate = settings.tlsCertificate ?: return null
        val key = checkNotNull(settings.tlsKey) { "a TLS certificate is set without a key" }
        return SslContextBuilder.forServer(File(certificate), File(key)).build()
    }

    private fun shutdownSettings(): ShutdownSettings {
        val defaults = ShutdownSettings()
        val acceptAtMost = settings.terminationGrace?.minus(CLOSING_TIME) ?: defaults.acceptAtMost
        return ShutdownSettings(
            unreadyFor = settings.drainGrace,
            quietFor = minOf(settings.drainGrace, defaults.quietFor),
            acceptAtMost = maxOf(settings.drainGrace, acceptAtMost),
            grace = settings.terminationGrace,
        )
    }

    private fun ownRegistration(): PlatformInstance =
        PlatformInstance(
            id = settings.instance.value,
            zone = settings.zone.value,
            address = settings.peers.toString(),
            kind = "router",
            state = "live",
        )

    private fun requestContext(offer: (RequestMessage) -> Boolean): RequestContext =
        RequestContext(
            instance = settings.instance,
            zone = settings.zone,
            http = http,
            platform = platform,
            metrics = metrics,
            timers = timers,
            offer = offer,
            onWorkStarted = { shutdown.onWorkStarted(it) },
            onWorkFinished = { shutdown.onWorkFinished(it) },
            timeLeft = { shutdown.timeLeft },
        )

    private fun modelRoutes(
        context: RequestContext,
        random: RandomGenerator,
        onPlanned: () -> Unit,
    ): ModelRoutes =
        ModelRoutes(
            instance = settings.instance,
            random = random,
            planning = planExecutor,
            post = context::continueWith,
            onPlanned = onPlanned,
        )

    private fun newRandom(): RandomGenerator = RandomGenerator.of("L64X128MixRandom")

    private inner class CallerObserver : ConnectionObserver {
        override fun onOpened() = shutdown.onConnectionOpened()

        override fun onClosed() = shutdown.onConnectionClosed()

        override fun onRequestStarted(request: RequestId) = shutdown.onWorkStarted(request)

        override fun onRequestFinished(request: RequestId) = shutdown.onWorkFinished(request)
    }

    private companion object {
        const val EVENT_LOOPS = 4
        const val POLL_TIMEOUT_FACTOR = 4

        /** The listener closes this long before the process is killed. */
        val CLOSING_TIME = 1_500.milliseconds
    }
}
