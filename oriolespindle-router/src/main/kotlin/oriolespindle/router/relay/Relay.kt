package oriolespindle.router.relay

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.RequestId
import oriolespindle.core.lifecycle.ShutdownAction
import oriolespindle.core.relay.RelayConfiguration
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.router.http.ConnectionObserver
import oriolespindle.router.http.HttpClient
import oriolespindle.router.http.HttpClientSettings
import oriolespindle.router.http.HttpServer
import oriolespindle.router.http.HttpServerSettings
import oriolespindle.router.lifecycle.ShutdownCoordinator
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The front end that relays requests by host and path to endpoints that a platform registers.
 *
 * All functions have to be called on [loop]'s thread, which also runs every callback; [onStopped] is called once no
 * request is in flight after [shutDown].
 */
public class Relay(
    private val settings: RelaySettings,
    private val onStopped: () -> Unit,
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** The client for all calls of this process. */
    public val http: HttpClient = HttpClient(group, HttpClientSettings(connectTimeout = settings.times.connect))

    /** The meters of this process. */
    public val metrics: RelayMetrics = RelayMetrics()

    /** Runs subscribers on the event loop. */
    public val timers: TimerService = TimerService(group.next())
    private val context = RelayContext(settings, http, timers, metrics)
    private val frontEnd = RelayFrontEnd(context)
    private val shutdown = ShutdownCoordinator(settings.shutdown, timers, ::perform)
    private val callers =
        HttpServer(group, serverSettings(null), observer = CallerObserver(), handler = frontEnd::arrived)
    private val readiness = HttpServer(group) { frontEnd.readiness(it, isReady) }
    private var placement: PlacementComponent? = null

    private val isReady: Boolean
        get() = shutdown.isReady && context.configuration.current != null && context.directory.isInitialized

    /** Whether this instance gives the orders to load layers now. */
    public val holdsPlacementLease: Boolean get() = placement?.holdsLease ?: false

    /** Opens the listeners and takes part in the placement of layers. */
    public fun start(
        engines: EngineCalls,
        objects: SharedObjects,
    ) {
        context.engines = engines
        context.paceInquiry.start()
        registerGauges()
        callers.bind(settings.callers)
        readiness.bind(settings.readiness)
        settings.metrics?.let { readiness.bind(it) }
        val component = PlacementComponent(context, settings.instance, objects)
        placement = component
        component.start(rank = Math.floorMod(settings.instance.value.hashCode(), LEASE_RANKS))
        timers.every(POOL_CHECK) { http.closeExpired() }
        EventLog.info(
            "instance started",
            "instance" to settings.instance,
            "zone" to settings.zone,
            "callers" to settings.callers,
            "readiness" to settings.readiness,
        )
    }

    private fun registerGauges() {
        metrics.gauge("oriolespindle.relay.configuration.version") { context.configuration.current?.version ?: 0 }
        metrics.gauge("oriolespindle.relay.endpoints") { context.directory.size }
        metrics.gauge("oriolespindle.relay.streams") { context.streams.size }
        metrics.gauge("oriolespindle.relay.placement.lease") { if (holdsPlacementLease) 1 else 0 }
        metrics.gauge("oriolespindle.relay.instances") { context.budgets.instances ?: 0 }
    }

    /** Runs [action] on the event loop. */
    public fun execute(action: () -> Unit) {
        group.next().execute(action)
    }

    /** Puts [configuration] in force unless it is older than the one that is. */
    public fun configure(configuration: RelayConfiguration) {
        if (!context.configuration.offer(configuration)) return
        callers.settings = serverSettings(configuration)
        EventLog.info("configuration in force", "version" to configuration.version)
    }

    /** Takes the whole list of registered endpoints. */
    public fun replaceEndpoints(endpoints: List<RelayEndpoint>) {
        context.directory.replaceAll(monotonicNow(), endpoints)
        val registered = endpoints.mapTo(HashSet()) { it.id }
        context.selector.retain(registered)
        context.concurrency.retain(registered)
        context.paces.retain(registered)
    }

    /** Takes one endpoint that is new or has changed. */
    public fun putEndpoint(endpoint: RelayEndpoint): Unit = context.directory.put(endpoint)

    /** Takes the removal of an endpoint's registration. */
    public fun removeEndpoint(id: EndpointId): Unit = context.directory.remove(monotonicNow(), id)

    /** Takes the number of instances that share the budgets, and of those that use the endpoints of the own zone. */
    public fun instancesCounted(
        all: Int,
        inZone: Int,
    ) {
        context.budgets.instances = all
        context.load.instances = inZone
        placement?.instancesCounted(all)
    }

    /** The store does not answer this instance. */
    public fun storeLost() {
        EventLog.warn("store lost")
        context.directory.onStoreLost()
    }

    /** The store answers again. */
    public fun storeRegained() {
        EventLog.info("store regained")
        context.directory.onStoreRecovered(monotonicNow())
    }

    /** Ends the instance once every request in flight has its answer. */
    public fun shutDown() {
        EventLog.info("shutdown requested", "in_flight" to callers.connectionCount)
        placement?.stop()
        shutdown.requestShutdown()
    }

    /** Ends the event loop at once, whatever is in flight. */
    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()
    }

    private fun perform(action: ShutdownAction) {
        when (action) {
            ShutdownAction.ReportUnready -> {
                callers.closing = true
            }

            ShutdownAction.StopAccepting -> {
                callers.stopAccepting()
            }

            is ShutdownAction.CloseIdle -> {
                callers.closeIdleConnections(action.idleFor)
            }

            ShutdownAction.Exit -> {
                EventLog.info("instance stopped")
                onStopped()
            }
        }
    }

    private fun serverSettings(configuration: RelayConfiguration?): HttpServerSettings {
        val limits = configuration?.limits ?: return HttpServerSettings(maxConnections = settings.maxConnections)
        return HttpServerSettings(
            maxBodyBytes = limits.maxBodyBytes,
            maxHeaderBytes = limits.maxHeaderBytes,
            maxConnections = settings.maxConnections,
            requestTimeout = limits.headerTimeout + BODY_TIME,
            idleTimeout = limits.idleTimeout,
        )
    }

    private inner class CallerObserver : ConnectionObserver {
        override fun opened() = shutdown.onConnectionOpened()

        override fun started(request: RequestId) = shutdown.onWorkStarted(request)

        override fun finished(request: RequestId) = shutdown.onWorkFinished(request)
    }

    private companion object {
        /** Spreads the candidates for the lease so that they do not write at the same moment. */
        const val LEASE_RANKS = 8
        val POOL_CHECK: Duration = 1.seconds

        /** The time for the body of a request, beside that for its headers. */
        val BODY_TIME: Duration = 10.seconds
    }
}
