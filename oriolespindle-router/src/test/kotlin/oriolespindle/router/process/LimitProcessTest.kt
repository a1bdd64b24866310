package oriolespindle.router.process

import org.junit.jupiter.api.Test
import oriolespindle.testkit.http.TestClient
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.TimeSource

/** Guards against a contract's rate that several instances exceed together or that one alone cannot use fully. */
class LimitProcessTest {
    @Test
    fun `a team that calls only one of three instances gets the rate of its contract and not more`() {
        TestFleet(routers = 3, enginesPerRange = 1, requestsPerSecond = CONTRACT_RATE).use { fleet ->
            call(fleet, WARM_UP_SECONDS)
            val start = TimeSource.Monotonic.markNow()
            val done = call(fleet, MEASURED_SECONDS)
            val allowed = CONTRACT_RATE * (start.elapsedNow().inWholeMilliseconds / 1_000.0)

            expectThat(done / allowed).isLessThanOrEqualTo(MAX_RATIO)
            expectThat(done / allowed).isGreaterThanOrEqualTo(MIN_RATIO)
        }
    }

    @Test
    fun `an instance is not ready while peers that hold the units do not respond, or it would refuse each call`() {
        TestFleet(routers = 1, enginesPerRange = 1).use { fleet ->
            fleet.routers[0].pause()
            val added = fleet.addRouter()
            val wasReady = (1..READY_CHECKS).any { Thread.sleep(CHECK_INTERVAL_MILLIS).let { added.isReady() } }
            fleet.routers[0].resume()
            fleet.awaitReady()
            val reply =
                TestClient(
                    added.address,
                ).call("GET", "/services/orders/stock", headers = TestFleet.AUTHORIZATION)

            expectThat(wasReady).isFalse()
            expectThat(reply.status).isEqualTo(200)
        }
    }

    /** Calls one instance faster than the contract allows for about [seconds]; returns how many calls succeeded. */
    private fun call(
        fleet: TestFleet,
        seconds: Int,
    ): Int {
        val client = TestClient(fleet.routers[0].address)
        val start = TimeSource.Monotonic.markNow()
        var done = 0
        while (start.elapsedNow().inWholeSeconds < seconds) {
            val reply = client.call("GET", "/services/orders/stock", headers = TestFleet.AUTHORIZATION)
            if (reply.status == 200) done++
        }
        return done
    }

    private companion object {
        const val CONTRACT_RATE = 50.0
        const val WARM_UP_SECONDS = 3
        const val MEASURED_SECONDS = 10

        /** Checks for 6 s; starting, reading the allotment and listing peers takes less, also under load. */
        const val READY_CHECKS = 60
        const val CHECK_INTERVAL_MILLIS = 100L

        /** The tolerance of the contract's rate over 10 s. */
        const val MAX_RATIO = 1.02

        /** A fixed split would give a third; tests in virtual time cover how fast units move. */
        const val MIN_RATIO = 0.5
    }
}
