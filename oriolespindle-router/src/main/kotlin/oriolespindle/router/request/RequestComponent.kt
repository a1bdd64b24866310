package oriolespindle.router.request

import kotlinx.serialization.json.JsonObject
import oriolespindle.core.chain.EndpointAvailability
import oriolespindle.core.chain.LinkObservation
import oriolespindle.core.chain.LoadReport
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.StoredObject
import oriolespindle.core.crash.CrashEvidence
import oriolespindle.core.fairness.DemandReport
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ModelId
import oriolespindle.core.id.TeamId
import oriolespindle.core.limit.ShareUpdate
import oriolespindle.core.limit.TeamSlots
import oriolespindle.core.limit.UsageReport
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.retry.RetryPolicy
import oriolespindle.core.time.Timestamp
import oriolespindle.router.endpoint.LoadPoller
import oriolespindle.router.http.Address
import oriolespindle.router.http.ServerExchange
import oriolespindle.router.metrics.Metrics
import oriolespindle.router.platform.PlatformInstanceList
import oriolespindle.router.runtime.Component
import kotlin.time.Duration.Companion.milliseconds

/** Callbacks of the request component; they are called on its thread and must not block. */
internal class RequestListeners(
    val onContracts: (List<TeamSlots>) -> Unit,
    val onUsage: (UsageReport) -> Unit,
    val onDemand: (DemandReport) -> Unit,
    val onCrashEvidence: (List<CrashEvidence>) -> Unit,
    val onAvailability: (Map<EndpointId, EndpointAvailability>) -> Unit,
)

/** Handles callers' requests from arrival to response on one thread. */
internal class RequestComponent(
    private val metrics: Metrics,
    jitter: () -> Double,
    isLive: (InstanceId) -> Boolean,
    private val listeners: RequestListeners,
    createContext: (offer: (RequestMessage) -> Boolean) -> RequestContext,
    createRoutes: (RequestContext, onPlanned: () -> Unit) -> ModelRoutes,
) {
    private val component = Component("requests", RING_CAPACITY, handle = ::handle)
    private val context = createContext(component::offer)
    private val routes = createRoutes(context, ::onPlanned)
    private val endpoints = EndpointStates(context.directory)
    private val retries = RetryPolicy(jitter = jitter, teamRatio = ::teamRetryRatio)
    private val admission = Admission(context)
    private val scheduler = FairScheduler(context, routes)
    private val completions =
        Completions(context, routes, endpoints, retries, admission, scheduler, listeners.onCrashEvidence)
    private val services = ServiceCalls(context, ServiceSender(context, endpoints), retries, admission, isLive)
    private val api = CallerApi(context, completions::handle, services::handle)

    private var isConfigured = false
    private var availability = emptyMap<EndpointId, EndpointAvailability>()
    private var availabilityDue = Timestamp(Long.MIN_VALUE)
    private var demandDue = Timestamp(Long.MIN_VALUE)
    private var usageDue = Timestamp(Long.MIN_VALUE)

    /** Whether the first configuration has come into force with a plan for every model; never reverts to false. */
    @Volatile
    var isReady: Boolean = false
        private set

    fun start() {
        component.start()
        context.timers.every(TICK_INTERVAL) { component.offer(RequestMessage.Tick) }
        metrics.gauge("oriolespindle.ring.requests") { component.depth }
    }

    /** Accepts a request from an event loop thread, or refuses it at once if the ring buffer is full. */
    fun onRequest(exchange: ServerExchange) {
        if (component.offer(RequestMessage.Arrived(exchange))) return
        metrics.refused(RefusalReason.OVERLOADED)
        val outcome = CallOutcome.NotRun(RefusalReason.OVERLOADED, "this instance is overloaded", OVERLOAD_RETRY_DELAY)
        exchange.respond(Answers.notRun(null, outcome))
    }

    /** Accepts the platform's list; it is dropped if the ring buffer is full, since another one follows. */
    fun onPlatformList(list: PlatformInstanceList) {
        component.offer(RequestMessage.Listed(list))
    }

    /** Applies new shares of limits and reports their usage to the listener. */
    fun onShareUpdate(update: ShareUpdate) = context.continueWith { listeners.onUsage(admission.apply(update)) }

    /** Accepts the demand at another instance; dropped if the ring buffer is full, since another report follows. */
    fun onDemandReport(
        from: InstanceId,
        report: DemandReport,
    ) {
        component.offer(RequestMessage.Continue { scheduler.onDemandReport(from, report) })
    }

    /** Merges another instance's evidence about crashed endpoints. */
    fun onCrashEvidence(items: List<CrashEvidence>) = context.continueWith { completions.onCrashEvidence(items) }

    /** Informs the claimed calls that this process was paused. */
    fun onWokeFromPause() = context.continueWith { services.onWokeFromPause() }

    /** Ends the requests in progress and answers their callers, because this instance is about to end. */
    fun endRequests() =
        context.continueWith {
            admission.refuseHeld(context.stopping())
            completions.endRequests()
            services.endRequests()
        }

    /** Accepts changed objects, or returns false if the ring buffer is full and they must be offered again. */
    fun offerChanges(items: List<StoredObject>): Boolean = component.offer(RequestMessage.Changed(items))

    fun onLoadPolled(message: RequestMessage.Load) {
        component.offer(message)
    }

    /** Polls the load of each engine; the directory is read on the component's thread. */
    fun pollLoads(poller: LoadPoller) {
        component.offer(
            RequestMessage.Continue {
                context.directory.engines().forEach { poller.poll(it.id, Address.parse(it.address)) }
            },
        )
    }

    /** Calls [answer] on the component's thread with a report on requests, models and unusable objects. */
    fun status(answer: (JsonObject) -> Unit) {
        context.continueWith { answer(RequestStatus.report(context, routes, completions.inProgress)) }
    }

    private fun handle(message: RequestMessage) {
        when (message) {
            is RequestMessage.Arrived -> api.handle(message.exchange)
            is RequestMessage.CallerGone -> completions.onCallerGone(message.request)
            is RequestMessage.Engine -> completions.onEngineSignal(message.request, message.attempt, message.signal)
            is RequestMessage.Continue -> message.resume()
            is RequestMessage.Load -> onLoad(message)
            is RequestMessage.Changed -> applyObjects(message.items)
            is RequestMessage.Listed -> endpoints.onPlatformList(context.now(), message.list)
            is RequestMessage.Tick -> tick()
        }
    }

    private fun onLoad(message: RequestMessage.Load) {
        val now = context.now()
        val answer = message.answer
        if (answer == null) {
            endpoints.onPollFailure(message.endpoint)
            return
        }
        endpoints.onPollAnswer(now, message.endpoint, answer.state == "draining")
        val model = context.directory.engine(message.endpoint)?.model ?: return
        val selector = routes.selector(model) ?: return
        selector.onLoadReport(
            now,
            LoadReport(message.endpoint, now, answer.active, answer.queued, answer.tokensPerSecond),
        )
        answer.linkMillis.forEach { (to, millis) ->
            selector.onLinkObservation(now, LinkObservation(message.endpoint, EndpointId(to), millis.milliseconds))
        }
    }

    private fun applyObjects(items: List<StoredObject>) {
        val models = HashSet<ModelId>()
        for (item in items) {
            when (item.key.kind) {
                ObjectKind.CONTRACT -> applyContract(item)
                ObjectKind.DRAIN -> endpoints.onDrainChanged(context.now(), item)
                else -> models += context.directory.apply(item)
            }
        }
        for (model in models) {
            val topology = context.directory.topology(model)
            if (topology == null) routes.remove(model) else routes.replan(context::now, topology)
        }
        // Shares of limits are complete only once the contracts are known, so an empty list is published too.
        if (!isConfigured || items.any { it.key.kind == ObjectKind.CONTRACT }) publishContracts()
        isConfigured = true
        updateReadiness()
    }

    private fun tick() {
        val now = context.now()
        completions.tick(now)
        admission.retryHeld()
        scheduler.tick(now)
        if (now >= demandDue) {
            demandDue = now + DEMAND_INTERVAL
            listeners.onDemand(scheduler.adaptToDemand(now))
            services.prune()
        }
        if (now >= usageDue) {
            usageDue = now + USAGE_INTERVAL
            listeners.onUsage(admission.usage())
        }
        if (now >= availabilityDue) {
            availabilityDue = now + AVAILABILITY_INTERVAL
            updateAvailability(now)
        }
    }

    /** Passes changed engine states on; only changes, because each one makes a selector sample anew. */
    private fun updateAvailability(now: Timestamp) {
        val states = endpoints.engineAvailabilities(now)
        for ((endpoint, state) in states) {
            if (availability[endpoint] == state) continue
            val model = context.directory.engine(endpoint)?.model ?: continue
            routes.selector(model)?.setAvailability(now, endpoint, state)
        }
        if (states != availability) listeners.onAvailability(states)
        availability = states
    }

    private fun teamRetryRatio(team: TeamId): Double = context.contracts.contract(team)?.retryBudget ?: 0.0

    private fun publishContracts() {
        context.teamUsage.retain(context.contracts.contracts().mapTo(HashSet()) { it.team })
        listeners.onContracts(context.contracts.contracts().map { TeamSlots(it.team, it.concurrency) })
    }

    /** Resends all states, since a new plan may have engines that the selector did not know at their last change. */
    private fun onPlanned() {
        availability = emptyMap()
        updateReadiness()
    }

    /** Sets [isReady], which stays set: while a new plan is computed, the old one is still used. */
    private fun updateReadiness() {
        if (isConfigured && routes.pendingPlans == 0) isReady = true
    }

    private fun applyContract(item: StoredObject) {
        val team = TeamId(item.key.name)
        val value = item.value
        if (value == null) {
            context.contracts.remove(team, item.version.value)
        } else {
            context.contracts.put(team, item.version.value, value)
        }
        if (context.contracts.faults().any { it.team == team }) metrics.malformedObject()
    }

    private companion object {
        const val RING_CAPACITY = 16_384
        val TICK_INTERVAL = 20.milliseconds

        val AVAILABILITY_INTERVAL = 100.milliseconds
        val DEMAND_INTERVAL = 200.milliseconds

        /** The ledger bases transfers on the usage of the last second; ten reports per second are enough for it. */
        val USAGE_INTERVAL = 100.milliseconds
        val OVERLOAD_RETRY_DELAY = 500.milliseconds
    }
}
