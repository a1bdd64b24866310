package oriolespindle.router.relay

import oriolespindle.core.admission.FirstEventTimes
import oriolespindle.core.crash.CrashNews
import oriolespindle.core.id.ZoneId
import oriolespindle.core.lifecycle.StoppingPeers
import oriolespindle.core.load.SharedLoad
import oriolespindle.core.placement.PathBalance
import oriolespindle.core.placement.PathFinder
import oriolespindle.core.relay.AnswerDurations
import oriolespindle.core.relay.AttemptPolicy
import oriolespindle.core.relay.ConcurrencyLimits
import oriolespindle.core.relay.ConfigurationHolder
import oriolespindle.core.relay.EndpointDirectory
import oriolespindle.core.relay.EndpointPaces
import oriolespindle.core.relay.EndpointSelector
import oriolespindle.core.relay.RefusalSharing
import oriolespindle.core.relay.ServiceBudgets
import oriolespindle.core.relay.SharedRefusal
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.HttpClient
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow

/** State shared by all requests of one relay. Confined to the event loop. */
internal class RelayContext(
    settings: RelaySettings,
    val http: HttpClient,
    val timers: TimerService,
    val metrics: RelayMetrics,
) {
    val names: RelayHeaderNames = settings.headerNames
    val times: RelayTimes = settings.times
    val zone: ZoneId = settings.zone
    val headers = RelayHeaders(names)
    val configuration = ConfigurationHolder()
    val directory = EndpointDirectory(settings.directory)
    val answers = AnswerObserver(names, directory, onSignOfLife = { losses.onSignOfLife(it) })
    val configurationContact = StoreContact()
    val endpointContact = StoreContact()
    val budgets = ServiceBudgets(settings.budgets, startedAt = monotonicNow())
    val policy = AttemptPolicy(budgets)
    val selector = EndpointSelector(zone)
    val paths = PathFinder(zone)
    val load = SharedLoad()

    /** Spreads requests over paths of about the same cost; null unless the instances of the zone share their load. */
    var balance: PathBalance? = null

    /** The header with the caller's estimate of the answer's length, which counts only while load is shared. */
    val lengthHintName: String? get() = names.lengthHint.takeIf { balance != null }
    val paces = EndpointPaces()
    val concurrency = ConcurrencyLimits()
    val refusalSharing = RefusalSharing()
    val durations = AnswerDurations()
    val firstEvents = FirstEventTimes()
    val admission = AdmissionQueue(timers, metrics)
    val stoppingPeers = StoppingPeers()
    val harmful = HarmfulRequests(timers, metrics, send = { shareCrashNews(it) }, ::endRejectedRequests)
    val losses: EndpointLosses =
        EndpointLosses(
            timers,
            probe = { address, result -> http.probe(address, result = result) },
            registrationState = { directory.registrationState(monotonicNow(), it) },
            onCrash = ::onEndpointEnded,
            onSilent = harmful::onSilent,
            onSignOfLife = harmful::onSignOfLife,
        )

    /** Sends a refusal to the other instances of the zone. */
    var shareRefusal: (SharedRefusal) -> Unit = {}

    /** Sends news about ends of endpoints to all other instances. */
    var shareCrashNews: (CrashNews) -> Unit = {}

    private fun onEndpointEnded(crash: EndpointCrash) {
        directory.onFailure(monotonicNow(), crash.endpoint.id)
        harmful.onCrash(crash)
    }

    private fun endRejectedRequests() = sessions.toList().forEach { it.onRejectionsAdded() }

    /** Log fields that tell how current the configuration and the endpoints are. */
    fun contactFields(): Array<Pair<String, Any?>> =
        arrayOf(
            "configuration_age_ms" to configurationContact.age?.inWholeMilliseconds,
            "endpoints_revision" to endpointContact.revision,
            "endpoints_age_ms" to endpointContact.age?.inWholeMilliseconds,
        )

    /** Whether both the configuration and the endpoints have been received. */
    val isInitialized: Boolean get() = configuration.current != null && directory.isInitialized

    /** The requests in progress. */
    val sessions = LinkedHashSet<RelaySession>()

    /** Returns when the instance ends all requests because it is about to be killed; null unless it stops. */
    var requestsEndAt: () -> Timestamp? = { null }

    /** The streams in progress. */
    val streams = LinkedHashSet<StreamSession>()
    lateinit var engines: EngineCalls
    val pacePoller = PacePoller(this)
    val failover = EndpointFailover(this, settings.instance)
}
