package oriolespindle.router.relay

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import oriolespindle.core.config.Revision
import oriolespindle.core.crash.CrashNews
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.RequestId
import oriolespindle.core.lifecycle.LeavingSource
import oriolespindle.core.lifecycle.ShutdownAction
import oriolespindle.core.relay.RegistrationChange
import oriolespindle.core.relay.RelayConfiguration
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.relay.ServiceBudgets
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.Address
import oriolespindle.router.http.ClientEvent
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
 * Relays requests by host and path to the endpoints that a platform registers.
 *
 * Functions must be called on the event loop (see [execute]), which also runs every callback. [onStopped] is called
 * after [shutDown], once no request is in flight.
 */
public class Relay(
    private val settings: RelaySettings,
    private val onStopped: () -> Unit,
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** The metrics of this process. */
    public val metrics: RelayMetrics = RelayMetrics()

    /** The HTTP client that all outgoing calls of this process share. */
    public val http: HttpClient =
        HttpClient(
            group,
            HttpClientSettings(connectTimeout = settings.times.connectTimeout),
            onFault = metrics::onAnswerFault,
        )

    /** Runs timers on the event loop. */
    public val timers: TimerService = TimerService(group.next())
    private val context = RelayContext(settings, http, timers, metrics)
    private val shutdown = ShutdownCoordinator(settings.shutdown, timers, ::perform)
    private val frontEnd = RelayFrontEnd(context, shutdown, settings.lateRequests)
    private val callers =
        HttpServer(group, serverSettings(null), observer = CallerObserver(), handler = frontEnd::onRequest)
    private val readiness = HttpServer(group) { frontEnd.readiness(it, isReady) }
    private val hints = PeerHintChannel(group, ::onHint)
    private val loadSharing = LoadSharing(context, settings.instance, send = hints::send)
    private var placement: PlacementComponent? = null

    private val isReady: Boolean
        get() = shutdown.isReady && context.isInitialized

    internal val budgets: ServiceBudgets get() = context.budgets

    /** Whether this instance holds the placement lease and may order engines to load layers. */
    public val holdsPlacementLease: Boolean get() = placement?.holdsLease ?: false

    /** Opens the listeners, becomes a candidate for the placement lease and returns the addresses in use. */
    public fun start(
        engines: EngineCalls,
        objects: SharedObjects,
    ): RelayAddresses {
        context.engines = GatedEngines(engines, context.directory)
        context.requestsEndAt = { shutdown.endAt }
        context.pacePoller.start()
        registerGauges()
        val addresses =
            RelayAddresses(
                callers = callers.bind(settings.callers),
                readiness = readiness.bind(settings.readiness),
                refusals = settings.refusals?.let(hints::bind),
            )
        settings.metrics?.let { readiness.bind(it) }
        context.shareRefusal = { hints.send(PeerHint.Refusal(it)) }
        if (addresses.refusals != null && settings.sharesLoad) loadSharing.start()
        context.failover.start(share = hints::send)
        context.shareCrashNews = { hints.send(PeerHint.Crashes(it)) }
        val component = PlacementComponent(context, settings.instance, objects)
        placement = component
        component.start(rank = Math.floorMod(settings.instance.value.hashCode(), LEASE_RANKS))
        timers.every(POOL_CHECK_INTERVAL) { http.closeExpired() }
        EventLog.info(
            "instance started",
            "instance" to settings.instance,
            "zone" to settings.zone,
            "callers" to addresses.callers,
            "readiness" to addresses.readiness,
        )
        return addresses
    }

    private fun registerGauges() {
        metrics.gauge("oriolespindle.relay.configuration.version") { context.configuration.current?.version ?: 0 }
        metrics.gauge("oriolespindle.relay.endpoints") { context.directory.size }
        metrics.gauge("oriolespindle.relay.streams") { context.streams.size }
        metrics.gauge("oriolespindle.relay.waiting") { context.admission.size }
        metrics.gauge("oriolespindle.relay.placement.lease") { if (holdsPlacementLease) 1 else 0 }
        metrics.gauge("oriolespindle.relay.instances") { context.budgets.instances ?: 0 }
    }

    /** Runs [action] on the event loop. */
    public fun execute(action: () -> Unit) {
        group.next().execute(action)
    }

    /** Applies [configuration], which was written at [revision], unless it is older than the configuration in force. */
    public fun configure(
        configuration: RelayConfiguration,
        revision: Revision = Revision.NONE,
    ) {
        val previous = context.configuration.current?.version
        val isNewer = context.configuration.offer(configuration)
        EventLog.info(
            if (isNewer) "configuration in force" else "older configuration ignored",
            "version" to configuration.version,
            "previous" to previous,
            "prioritized" to configuration.serviceIds.filter(configuration::hasPriorities),
            "revision" to revision,
            "store_age_ms" to context.configurationContact.age?.inWholeMilliseconds,
        )
        if (!isNewer) return
        callers.settings = serverSettings(configuration)
        context.durations.retain(configuration.routeNames, configuration.serviceIds)
        context.firstEvents.retain(configuration.routeNames)
        context.admission.retain(configuration.serviceIds)
        context.admission.evaluateAllSoon()
        frontEnd.onStateChanged()
    }

    /** Called when the store has confirmed that all changes of the configuration up to [revision] were reported. */
    public fun onConfigurationConfirmed(revision: Revision): Unit = context.configurationContact.onConfirmed(revision)

    /** Called when the store has confirmed that all changes of registrations up to [revision] were reported. */
    public fun onEndpointsConfirmed(revision: Revision) {
        context.endpointContact.onConfirmed(revision)
        context.directory.onConfirmed(monotonicNow())
    }

    /** Replaces all registered endpoints with [endpoints]. */
    public fun replaceEndpoints(endpoints: List<RelayEndpoint>) {
        val isFirst = !context.directory.isInitialized
        val changes = context.directory.replaceAll(monotonicNow(), endpoints)
        val counts = changes.values.groupingBy { it }.eachCount()
        EventLog.info("endpoints listed", "count" to endpoints.size, "changes" to counts)
        if (!isFirst) changes.forEach { (id, change) -> logChange(id, change, context.directory.find(id)?.revision) }
        val registered = endpoints.mapTo(HashSet()) { it.id }
        context.selector.retain(registered)
        context.concurrency.retain(registered)
        context.refusalSharing.retain(registered)
        frontEnd.onStateChanged()
        context.paces.retain(registered)
        context.losses.checkRegistrations()
        context.admission.evaluateAllSoon()
    }

    /** Adds or updates one registered endpoint. */
    public fun putEndpoint(endpoint: RelayEndpoint) {
        logChange(endpoint.id, context.directory.put(endpoint), endpoint.revision)
        context.admission.evaluateAllSoon()
    }

    /** Removes the registration of an endpoint. */
    public fun removeEndpoint(id: EndpointId) {
        val known = context.directory.find(id)?.revision
        logChange(id, context.directory.remove(monotonicNow(), id), known)
        context.admission.evaluateAllSoon()
    }

    /** Called with the [head] of each answer to a control call to [endpoint]; relayed requests report theirs. */
    public fun onControlAnswer(
        endpoint: RelayEndpoint,
        head: ClientEvent.Head,
    ): Unit = context.answers.onHead(endpoint, head)

    /** Logs a change that decides whether an endpoint is used; [revision] is that of its last registration. */
    private fun logChange(
        id: EndpointId,
        change: RegistrationChange,
        revision: Revision?,
    ) {
        val message =
            when (change) {
                RegistrationChange.ADDED -> "endpoint added"
                RegistrationChange.LEAVING -> "endpoint leaves"
                RegistrationChange.REMOVED -> "endpoint removed"
                RegistrationChange.LAPSED -> "endpoint kept after its registration was removed"
                RegistrationChange.IGNORED -> "older registration ignored"
                RegistrationChange.UPDATED, RegistrationChange.NONE -> return
            }
        EventLog.info(
            message,
            "endpoint" to id,
            "source" to LeavingSource.PLATFORM.name.lowercase(),
            "revision" to revision,
            "store_age_ms" to context.endpointContact.age?.inWholeMilliseconds,
        )
        context.losses.checkRegistrations()
    }

    /** Updates the number of instances that share the budgets, and of those that use the endpoints of this zone. */
    public fun onInstanceCountChanged(
        all: Int,
        inZone: Int,
    ) {
        context.budgets.instances = all
        context.load.instances = inZone
        context.concurrency.instances = inZone
        context.admission.evaluateAllSoon()
        placement?.onInstanceCountChanged(all)
    }

    /**
     * Replaces the other instances that exchange hints, with the addresses at which they receive them.
     *
     * Those of this zone are [inZone], and [all] has those of every zone.
     */
    public fun setPeers(
        inZone: Map<InstanceId, Address>,
        all: Collection<Address> = inZone.values,
    ) {
        hints.peers = inZone.values.toList()
        hints.allPeers = all.toList()
        context.stoppingPeers.peers = inZone.keys
        loadSharing.peers = inZone.size
    }

    /** Calls [action] whenever [unstoredCrashNews] has something that the store should keep. */
    public fun onUnstoredCrashNews(action: () -> Unit) {
        context.harmful.onUnstoredNews = action
    }

    /** Returns what instances that start later must know about ends of endpoints; null if the store has it. */
    public fun unstoredCrashNews(): CrashNews? = context.harmful.unstoredNews()

    /** Merges the [news] that the object [name] of the store has; they were written [age] ago. */
    public fun onStoredCrashNews(
        name: String,
        news: CrashNews,
        age: Duration,
    ): Unit = context.harmful.onStored(name, news, age)

    /** Called when the object [name] of the store was deleted, which lifts the rejections that rest on it. */
    public fun onStoredCrashNewsRemoved(name: String): Unit = context.harmful.onStoredRemoved(name)

    /** Called before [onStoredCrashNews] with all objects of a store that was restored from an older copy. */
    public fun onCrashNewsRestored(): Unit = context.harmful.onStoreRestored()

    /** Called when the store stops answering this instance. */
    public fun onStoreLost() {
        EventLog.warn("store unreachable")
        context.directory.onStoreLost()
    }

    /** Called when the store answers again. */
    public fun onStoreRecovered() {
        EventLog.info("store reachable again")
        context.directory.onStoreRecovered(monotonicNow())
    }

    /** Called before the first list of endpoints from a store that was restored from an older copy. */
    public fun onEndpointsRestored() {
        context.directory.onStoreRestored(monotonicNow())
    }

    /**
     * Starts a graceful shutdown that was requested at [requestedAt]: the instance stops once every request in flight
     * is answered, and at the latest when its grace period from then on ends. Further calls have no effect.
     */
    public fun shutDown(requestedAt: Timestamp = monotonicNow()) {
        if (shutdown.stoppingFor != null) return
        val lag = monotonicNow() - requestedAt
        EventLog.info("shutdown requested", *loadFields(), "lag_ms" to lag.inWholeMilliseconds)
        shutdown.requestShutdown(requestedAt)
        announceStop()
        timers.every(STOP_ANNOUNCEMENT_INTERVAL, ::announceStop)
        placement?.stop()
    }

    private fun announceStop() = hints.send(PeerHint.Stopping(settings.instance))

    private fun onHint(hint: PeerHint) {
        when (hint) {
            is PeerHint.Refusal -> context.directory.onSharedRefusal(monotonicNow(), hint.refusal)
            is PeerHint.Crashes -> context.harmful.onNews(hint.news)
            is PeerHint.Ended -> context.failover.onHint(hint)
            is PeerHint.Stopping -> context.stoppingPeers.onStopping(monotonicNow(), hint.instance)
            is PeerHint.Load -> loadSharing.onReport(hint)
            is PeerHint.ZoneLoad -> loadSharing.onZoneReport(hint)
        }
    }

    /** Stops the event loop at once and drops requests in flight. */
    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()
    }

    private fun perform(action: ShutdownAction) {
        when (action) {
            ShutdownAction.ReportUnready -> {
                callers.closing = true
            }

            ShutdownAction.StopAccepting -> {
                EventLog.info("closing the listener", *loadFields())
                callers.stopAccepting()
            }

            is ShutdownAction.CloseIdle -> {
                callers.closeIdleConnections(action.idleFor)
            }

            ShutdownAction.EndRequests -> {
                EventLog.warn("requests are ended before the process is killed", *loadFields())
                frontEnd.endRequests()
            }

            ShutdownAction.Exit -> {
                EventLog.info("instance stopped", *loadFields())
                onStopped()
            }
        }
    }

    private fun loadFields(): Array<Pair<String, Any?>> =
        arrayOf(
            "connections" to callers.connectionCount,
            "in_flight" to shutdown.requestsInFlight,
            "stopping_ms" to shutdown.stoppingFor?.inWholeMilliseconds,
        )

    private fun serverSettings(configuration: RelayConfiguration?): HttpServerSettings {
        val limits =
            configuration?.limits
                ?: return HttpServerSettings(maxConnections = settings.maxConnections, areLimitsFinal = false)
        return HttpServerSettings(
            maxBodyBytes = limits.maxBodyBytes,
            maxHeaderBytes = limits.maxHeaderBytes,
            maxConnections = settings.maxConnections,
            requestTimeout = limits.headerTimeout + BODY_TIMEOUT,
            idleTimeout = limits.idleTimeout,
        )
    }

    private inner class CallerObserver : ConnectionObserver {
        override fun onOpened() = shutdown.onConnectionOpened()

        override fun onClosed() = shutdown.onConnectionClosed()

        override fun onRequestStarted(request: RequestId) = shutdown.onWorkStarted(request)

        override fun onRequestFinished(request: RequestId) = shutdown.onWorkFinished(request)
    }

    private companion object {
        /** The number of lease ranks; candidates of different ranks write the lease at different moments. */
        const val LEASE_RANKS = 8
        val POOL_CHECK_INTERVAL: Duration = 1.seconds
        val STOP_ANNOUNCEMENT_INTERVAL: Duration = 1.seconds

        /** The time allowed for the body of a request, in addition to the header timeout. */
        val BODY_TIMEOUT: Duration = 10.seconds
    }
}
