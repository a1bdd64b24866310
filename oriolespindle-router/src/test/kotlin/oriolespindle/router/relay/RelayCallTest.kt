package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.TimeUnit

class RelayCallTest {
    private val relay = RelayFixture()
    private val endpoints = ArrayList<ScriptedEndpoint>()

    @AfterEach
    fun close() {
        relay.close()
        endpoints.forEach { it.close() }
    }

    private fun endpoint(
        name: String = "e1",
        script: ScriptedConnection.(ReceivedRequest, Int) -> Unit,
    ): ScriptedEndpoint = ScriptedEndpoint(name, script).also { endpoints += it }

    private fun serve(
        kind: RouteKind,
        vararg endpoints: ScriptedEndpoint,
        maxAttempts: Int = 2,
    ) {
        relay.configure(RelayFixture.route(kind, maxAttempts = maxAttempts))
        relay.register(*endpoints.mapIndexed { i, it -> it.registration(zone = "z${i + 1}") }.toTypedArray())
    }

    @Test
    fun `relays a request unchanged, without the caller's key and with the caller's team`() {
        val target = endpoint { request, _ -> write(Scripts.whole(request, "answer")) }
        serve(RouteKind.NON_IDEMPOTENT, target)
        val answer =
            relay.call(
                path = "/r/x?q=1",
                headers =
                    mapOf(
                        "Team" to "forged",
                        "Reserved" to "1",
                        "Other" to "kept",
                    ),
            )
        val seen = target.nextRequest()

        expectThat(answer.status).isEqualTo(200)
        expectThat(answer.body).isEqualTo("answer")
        expectThat(answer.header("Signed")).isEqualTo("yes")
        expectThat(seen.requestLine).isEqualTo("POST /r/x?q=1 HTTP/1.1")
        expectThat(seen.body).isEqualTo("body")
        expectThat(seen["Request-Name"]).isEqualTo("n1")
        expectThat(seen["Team"]).isEqualTo("team")
        expectThat(seen["Expected"]).isEqualTo("e1")
        expectThat(seen["Other"]).isEqualTo("kept")
        expectThat(seen["Authorization"]).isNull()
        expectThat(seen["Reserved"]).isNull()
        expectThat(seen["Time-Left"]?.toInt()).isNotNull().isIn(1..3_000)
    }

    @Test
    fun `waits for an answer on a route without an objective`() {
        val target =
            endpoint { request, _ ->
                Thread.sleep(100)
                write(Scripts.whole(request, "answer"))
            }
        relay.configure(RelayFixture.route(RouteKind.IDEMPOTENT, objective = null))
        relay.register(target.registration())

        expectThat(relay.call().status).isEqualTo(200)
        expectThat(target.requests).hasSize(1)
    }

    @Test
    fun `refuses requests as not run while there is no configuration and denies unknown routes and keys afterwards`() {
        expectThat(relay.call().status).isEqualTo(503)
        expectThat(relay.isReady()).isFalse()

        serve(RouteKind.IDEMPOTENT, endpoint { request, _ -> write(Scripts.whole(request, "a")) })
        expectThat(relay.isReady()).isTrue()
        expectThat(relay.call().status).isEqualTo(200)
        expectThat(relay.call(path = "/other").status).isEqualTo(404)
        expectThat(relay.call(headers = mapOf("Authorization" to "Bearer other")).status).isEqualTo(401)
        expectThat(relay.call(headers = mapOf("Authorization" to "")).status).isEqualTo(401)
    }

    @Test
    fun `serves a request that arrives shortly before the configuration and the endpoints`() {
        val target = endpoint { request, _ -> write(Scripts.whole(request, "answer")) }
        val answer =
            java.util.concurrent.CompletableFuture
                .supplyAsync { relay.call(headers = mapOf("Time-Left" to "2000")) }
        Thread.sleep(PAUSE_MILLIS)
        relay.configure(RelayFixture.route(RouteKind.NON_IDEMPOTENT))
        Thread.sleep(PAUSE_MILLIS)
        relay.register(target.registration())

        expectThat(answer.get().status).isEqualTo(200)
        expectThat(target.requests.single()["Time-Left"]?.toInt()).isNotNull().isIn(1..2_000 - PAUSE_MILLIS.toInt())
    }

    @Test
    fun `ignores a configuration that is older than the one in force`() {
        val target = endpoint { request, _ -> write(Scripts.whole(request, "a")) }
        serve(RouteKind.IDEMPOTENT, target)
        relay.configure(RelayFixture.route(RouteKind.IDEMPOTENT), version = 9, keys = mapOf("new" to "team"))
        relay.configure(RelayFixture.route(RouteKind.IDEMPOTENT), version = 8, keys = mapOf("key" to "team"))

        expectThat(relay.call().status).isEqualTo(401)
        expectThat(relay.call(headers = mapOf("Authorization" to "Bearer new")).status).isEqualTo(200)
    }

    @Test
    fun `does not retry a non-idempotent request after a lost answer`() {
        val first = endpoint("e1") { _, _ -> reset() }
        val second = endpoint("e2") { request, _ -> write(Scripts.whole(request, "a")) }
        serve(RouteKind.NON_IDEMPOTENT, first, second)

        expectThat(relay.call().status).isEqualTo(502)
        expectThat(first.requests.size + second.requests.size).isEqualTo(1)
    }

    @Test
    fun `retries an idempotent request after a failure`() {
        val first = endpoint("e1") { _, _ -> reset() }
        val second = endpoint("e2") { request, _ -> write(Scripts.whole(request, "a")) }
        serve(RouteKind.IDEMPOTENT, first, second)

        expectThat(relay.call(method = "GET", body = "").status).isEqualTo(200)
        expectThat(first.requests).hasSize(1)
        expectThat(second.requests).hasSize(1)
    }

    @Test
    fun `does not deliver a truncated answer as complete`() {
        val cut =
            endpoint { request, _ ->
                write(
                    "HTTP/1.1 200 OK\r\nRequest-Name: ${request["Request-Name"]}\r\nSigned: yes\r\n" +
                        "Content-Length: 100\r\n\r\nshort",
                )
                close()
            }
        serve(RouteKind.NON_IDEMPOTENT, cut)

        expectThat(relay.call().status).isEqualTo(502)
    }

    @Test
    fun `does not take a connection reset for the end of an answer without a length`() {
        val target =
            endpoint { request, number ->
                write("HTTP/1.1 200 OK\r\nRequest-Name: ${request["Request-Name"]}\r\nSigned: yes\r\n\r\nall of it")
                Thread.sleep(PAUSE_MILLIS)
                if (number == 1) reset() else close()
            }
        serve(RouteKind.NON_IDEMPOTENT, target)

        expectThat(relay.call().status).isEqualTo(502)
        Thread.sleep(PAUSE_AFTER_FAILURE_MILLIS)
        val second = relay.call()
        expectThat(second.status).isEqualTo(200)
        expectThat(second.body).isEqualTo("all of it")
    }

    @Test
    fun `does not deliver a late answer to a different request`() {
        val target =
            endpoint { request, number ->
                // A duplicate answer to the first request precedes the answer to the second one.
                if (number == 2) write(Scripts.whole(ReceivedRequest("", mapOf("request-name" to "n1"), ""), "stale"))
                write(Scripts.whole(request, "answer $number"))
            }
        serve(RouteKind.NON_IDEMPOTENT, target)

        expectThat(relay.call(headers = mapOf("Request-Name" to "n1")).body).isEqualTo("answer 1")
        expectThat(relay.call(headers = mapOf("Request-Name" to "n2")).body).isEqualTo("answer 2")
    }

    @Test
    fun `does not deliver surplus bytes after a complete answer to another request`() {
        val target =
            endpoint { request, number ->
                write(Scripts.whole(request, "answer $number") + "HTTP/1.1 200 OK\r\nSig")
            }
        serve(RouteKind.NON_IDEMPOTENT, target)

        expectThat(relay.call().body).isEqualTo("answer 1")
        expectThat(relay.call(headers = mapOf("Request-Name" to "n2")).body).isEqualTo("answer 2")
    }

    @Test
    fun `does not deliver a success without an endpoint's signature`() {
        val target = endpoint { request, _ -> write(Scripts.whole(request, "x").replace("Signed: yes\r\n", "")) }
        serve(RouteKind.NON_IDEMPOTENT, target)

        expectThat(relay.call().status).isEqualTo(502)
    }

    @Test
    fun `does not deliver an answer with a content encoding`() {
        val target = endpoint { request, _ -> write(Scripts.whole(request, "x", extra = "Content-Encoding: gzip\r\n")) }
        serve(RouteKind.NON_IDEMPOTENT, target)

        expectThat(relay.call().status).isEqualTo(502)
    }

    @Test
    fun `delivers an endpoint's failure unchanged`() {
        val target = endpoint { request, _ -> write(Scripts.whole(request, "broken", status = "500 Error")) }
        serve(RouteKind.NON_IDEMPOTENT, target)
        val answer = relay.call()

        expectThat(answer.status).isEqualTo(500)
        expectThat(answer.body).isEqualTo("broken")
        expectThat(answer.header("Signed")).isEqualTo("yes")
    }

    @Test
    fun `answers a request that did not run with a Retry-After time`() {
        val full = endpoint { request, _ -> write(Scripts.refused(request)) }
        serve(RouteKind.NON_IDEMPOTENT, full, maxAttempts = 1)
        val answer = relay.call()

        expectThat(answer.status).isEqualTo(503)
        expectThat(answer.header("Retry-After")?.toDouble()).isNotNull().isGreaterThan(0.0)
        expectThat(full.requests).hasSize(1)
    }

    @Test
    fun `stops sending to an address that another server has taken over`() {
        val other = endpoint { request, _ -> write(Scripts.whole(request, "", status = "421 Misdirected Request")) }
        serve(RouteKind.NON_IDEMPOTENT, other, maxAttempts = 1)

        expectThat(relay.call().status).isEqualTo(503)
        expectThat(relay.call().status).isEqualTo(503)
        expectThat(other.requests).hasSize(1)
    }

    @Test
    fun `resets the connection of an abandoned call so that its bytes are not delivered later`() {
        val seen = java.util.concurrent.LinkedBlockingQueue<Boolean>()
        val target = endpoint { _, _ -> seen += isResetWithin(CLOSE_TIMEOUT_MILLIS) }
        serve(RouteKind.NON_IDEMPOTENT, target)

        relay.call(headers = mapOf("Time-Left" to "100"))

        expectThat(seen.poll(2, java.util.concurrent.TimeUnit.SECONDS)).isEqualTo(true)
    }

    @Test
    fun `closes the connection to the endpoint when the caller disconnects`() {
        val seen = java.util.concurrent.LinkedBlockingQueue<Boolean>()
        val target = endpoint { _, _ -> seen += closesWithin(CLOSE_TIMEOUT_MILLIS) }
        serve(RouteKind.NON_IDEMPOTENT, target)
        relay.connect().use { caller ->
            caller.send("POST", "/r/x", emptyMap(), "body")
            target.nextRequest()
        }

        expectThat(seen.poll(5, TimeUnit.SECONDS)).isEqualTo(true)
    }

    @Test
    fun `answers a request when its deadline passes`() {
        val target = endpoint { _, _ -> Thread.sleep(10_000) }
        serve(RouteKind.NON_IDEMPOTENT, target)
        val start = System.nanoTime()
        val answer = relay.call(headers = mapOf("Time-Left" to "300"))
        val millis = (System.nanoTime() - start) / 1_000_000

        expectThat(answer.status).isEqualTo(504)
        expectThat(millis).isIn(250L..800L)
    }

    @Test
    fun `does not reuse a connection that the endpoint announced to close`() {
        val target = endpoint { request, _ -> write(Scripts.whole(request, "a", extra = "Connection: close\r\n")) }
        serve(RouteKind.NON_IDEMPOTENT, target)

        expectThat(relay.call().status).isEqualTo(200)
        expectThat(relay.call().status).isEqualTo(200)
        expectThat(target.requests).hasSize(2)
    }

    @Test
    fun `names the reason when no endpoint is registered`() {
        relay.configure(RelayFixture.route(RouteKind.IDEMPOTENT))
        relay.register()
        val answer = relay.call()

        expectThat(answer.status).isEqualTo(503)
        expectThat(answer.body).contains("no_endpoint")
        expectThat(answer.header("Retry-After")).isNotEqualTo(null)
    }

    @Test
    fun `completes a request in flight during a shutdown`() {
        val target =
            endpoint { request, _ ->
                Thread.sleep(ANSWER_DELAY_MILLIS)
                write(Scripts.whole(request, "late"))
            }
        serve(RouteKind.NON_IDEMPOTENT, target)
        relay.connect().use { caller ->
            caller.send("POST", "/r/x", emptyMap(), "body")
            target.nextRequest()
            relay.shutDown()
            expectThat(relay.isReady()).isFalse()
            val answer = caller.readAll()
            expectThat(answer.status).isEqualTo(200)
            expectThat(answer.header("Connection")).isEqualTo("close")
        }
        expectThat(relay.stopped.await(5, TimeUnit.SECONDS)).isTrue()
    }

    private companion object {
        const val PAUSE_MILLIS = 100L
        const val PAUSE_AFTER_FAILURE_MILLIS = 400L
        const val CLOSE_TIMEOUT_MILLIS = 500
        const val ANSWER_DELAY_MILLIS = 700L
    }
}
