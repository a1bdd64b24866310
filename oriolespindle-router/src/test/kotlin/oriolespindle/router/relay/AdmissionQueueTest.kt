package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.admission.Priority
import oriolespindle.core.crash.CrashNews
import oriolespindle.core.crash.CrashReport
import oriolespindle.core.crash.EndpointProcess
import oriolespindle.core.crash.RequestTrait
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.lifecycle.ShutdownSettings
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.Semaphore
import kotlin.time.Duration.Companion.milliseconds

/**
 * Requests that wait for the only slot of an engine, whose streams end when [release] has a permit.
 *
 * Without an objective, the limit of the engine does not change with the time to the first event.
 */
class AdmissionQueueTest {
    private val release = Semaphore(0)
    private val engine = ScriptedEndpoint("e1") { request, _ -> streamUntilReleased(request) }
    private val relay =
        RelayFixture(
            ShutdownSettings(
                100.milliseconds,
                50.milliseconds,
                acceptAtMost = 200.milliseconds,
                grace = 1_500.milliseconds,
            ),
            instancesInZone = 72,
        )
    private val callers = ArrayList<RawCaller>()

    @AfterEach
    fun close() {
        callers.forEach { it.close() }
        release.release(MANY)
        relay.close()
        engine.close()
    }

    private fun ScriptedConnection.streamUntilReleased(request: ReceivedRequest) {
        write(Scripts.streamHead(request) + Scripts.chunk(Scripts.event(1)))
        release.acquire()
        write(Scripts.chunk(Scripts.event(2)) + Scripts.LAST_CHUNK)
    }

    private fun serve(vararg priorities: Int?) {
        val route = RelayFixture.route(RouteKind.STREAM, objective = null).copy(maxEventGap = 500.milliseconds)
        val routes = priorities.map { route.copy(name = "r$it", pathPrefix = "/r$it/", priority = it?.let(::Priority)) }
        relay.configure(*routes.toTypedArray(), model = RelayFixture.model)
        relay.register(engine.registration(RelayFixture.allLayers))
    }

    private fun send(
        id: String,
        priority: Int?,
        timeLeft: Int = 3_000,
    ): RawCaller =
        relay.connect().also { caller ->
            callers += caller
            val headers = mapOf("Request-Name" to id, "Connection" to "close", "Time-Left" to "$timeLeft")
            caller.send(
                "POST",
                "/r$priority/x",
                headers + ("Priority" to "7") + ("Parts" to "shared:5,$id:5"),
                "body $id",
            )
        }

    /** Sends a request and returns once it waits, as the [waiting]th one. */
    private fun sendWaiting(
        id: String,
        priority: Int,
        waiting: Int,
    ): RawCaller = send(id, priority).also { awaitWaiting(waiting) }

    private fun awaitWaiting(count: Int) = await { metric("waiting") == count.toDouble() }

    private fun await(isReached: () -> Boolean) {
        repeat(POLLS) {
            if (isReached()) return
            Thread.sleep(POLL_MILLIS)
        }
        error("not reached, ${metric("waiting")} requests wait")
    }

    private fun metric(name: String): Double? =
        relay
            .metrics()
            .lines()
            .firstOrNull { it.startsWith("oriolespindle_relay_$name ") }
            ?.substringAfter(' ')
            ?.toDouble()

    @Test
    fun `priorities are sent for services that have them - guards against a caller's own value at the engine`() {
        release.release(MANY)
        serve(0, null, 12)
        listOf(0, null, 12).forEach { send("n$it", it).readAll() }
        expectThat(engine.requests.map { it["Priority"] }).containsExactly("0", "5", "9")
    }

    @Test
    fun `without priorities a request is refused at once and has no header - guards deployments that have none`() {
        serve(3)
        send("n1", 3)
        expectThat(engine.nextRequest()["Priority"]).isNull()
        val refused = send("n2", 3).readAll()

        expectThat(refused.status).isEqualTo(503)
        expectThat(refused.body).contains("overloaded")
        expectThat(refused.header("Retry-After")).isEqualTo("0.250")
        expectThat(metric("waiting")).isEqualTo(0.0)
    }

    @Test
    fun `the most urgent request gets the next slot - guards against slots in the order of arrival`() {
        serve(0, 1, 2)
        send("first", 1)
        engine.nextRequest()
        val waiting = listOf("n2" to 2, "n1" to 1, "n0" to 0).mapIndexed { i, (id, it) -> sendWaiting(id, it, i + 1) }
        release.release(MANY)
        val answers = waiting.map { it.readAll() }

        expectThat(answers.map { it.status }).containsExactly(200, 200, 200)
        expectThat(engine.requests.map { it["Request-Name"] }).containsExactly("first", "n0", "n1", "n2")
        expectThat(relay.metrics()).contains("oriolespindle_relay_waited_seconds_count{priority=\"2\"} 1")
    }

    @Test
    fun `a request that waits in vain is refused and was not sent - guards against untrue refusals`() {
        serve(0, 1)
        send("first", 1)
        engine.nextRequest()
        val refused = send("n1", 1, timeLeft = 400).readAll()

        expectThat(refused.status).isEqualTo(503)
        expectThat(refused.body).contains("not_run")
        expectThat(refused.body).contains("overloaded")
        expectThat(refused.header("Retry-After")?.toDouble()).isNotNull().isGreaterThanOrEqualTo(0.1)
        expectThat(engine.requests).hasSize(1)
        expectThat(relay.metrics()).contains("oriolespindle_relay_priority_refusals_total{priority=\"1\"} 1")
    }

    @Test
    fun `the request of a caller that leaves is not sent - guards against a slot that is spent on nobody`() {
        serve(0, 1)
        send("first", 1)
        engine.nextRequest()
        sendWaiting("left", 0, waiting = 1).close()
        await { "oriolespindle_relay_requests_total{outcome=\"left\"} 1" in relay.metrics() }
        expectThat(metric("waiting")).isEqualTo(0.0)
        val next = sendWaiting("next", 1, waiting = 1)
        release.release(MANY)

        expectThat(next.readAll().status).isEqualTo(200)
        expectThat(engine.requests.map { it["Request-Name"] }).containsExactly("first", "next")
    }

    @Test
    fun `a waiting request is served while the instance stops - guards against refusals in a rolling restart`() {
        serve(0, 1)
        send("first", 1)
        engine.nextRequest()
        val waiting = sendWaiting("n1", 1, waiting = 1)
        relay.shutDown()
        release.release(MANY)

        expectThat(waiting.readAll().status).isEqualTo(200)
    }

    @Test
    fun `a waiting request is refused when the grace period ends - guards against connections without an answer`() {
        serve(0, 1)
        send("first", 1)
        engine.nextRequest()
        val waiting = sendWaiting("n1", 1, waiting = 1)
        relay.shutDown()
        val refused = waiting.readAll()

        expectThat(refused.status).isEqualTo(503)
        expectThat(refused.body).contains("stopping")
        expectThat(metric("waiting")).isEqualTo(0.0)
        expectThat(engine.requests).hasSize(1)
    }

    @Test
    fun `a waiting request that is rejected is not sent - guards engines against requests that end them`() {
        serve(0, 1)
        send("first", 1)
        engine.nextRequest()
        val waiting = sendWaiting("n1", 1, waiting = 1)
        val trait = RequestTrait.ofPart(ServiceId("s"), "shared")
        val ends = List(5) { CrashReport(EndpointProcess(EndpointId("e$it"), 1), listOf(setOf(trait)), 1_000L * it) }
        relay.readCrashNews(CrashNews(ends))
        val refused = waiting.readAll()

        expectThat(refused.status).isEqualTo(503)
        expectThat(refused.body).contains("quarantined")
        expectThat(metric("waiting")).isEqualTo(0.0)
        expectThat(engine.requests).hasSize(1)
    }

    @Test
    fun `a request that its only engine has refused does not wait - guards against waits for a slot it may not use`() {
        serve(0, 1)
        ScriptedEndpoint("e2") { request, _ -> write(Scripts.refused(request)) }.use { refusing ->
            relay.register(refusing.registration(RelayFixture.allLayers))
            val refused = send("n1", 1).readAll()

            expectThat(refused.status).isEqualTo(503)
            expectThat(refusing.requests).hasSize(1)
            expectThat(relay.metrics()).not().contains("oriolespindle_relay_waited_seconds")
        }
    }

    @Test
    fun `a removed engine ends the wait - guards against requests that wait for a slot that cannot come`() {
        serve(0, 1)
        send("first", 1)
        engine.nextRequest()
        val waiting = sendWaiting("n1", 1, waiting = 1)
        relay.register()
        val refused = waiting.readAll()

        expectThat(refused.status).isEqualTo(503)
        expectThat(refused.body).contains("no_path")
    }

    private companion object {
        const val MANY = 100
        const val POLLS = 400
        const val POLL_MILLIS = 10L
    }
}
