package oriolespindle.core.crash

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

class CrashGuardTest {
    private fun run(
        scenario: CrashScenario,
        seeds: Int,
    ): CrashCounts {
        val counts = CrashCounts()
        (1L..seeds).forEach { CrashSimulation(it, scenario, counts).run() }
        println("crash: ${scenario.name}, $seeds seeds: $counts")
        return counts
    }

    @Test
    fun `a retried request crashes at most three endpoints`() {
        val counts = run(CrashScenario("40 endpoints"), 300)
        val chains = run(CrashScenario("10 chains of 4", chainLength = 4, requestsPerSecond = 50), 50)

        expectThat(counts.maxEndpointsCrashed).isLessThanOrEqualTo(3)
        expectThat(chains.maxEndpointsCrashed).isLessThanOrEqualTo(3)
        expectThat(run(CrashScenario("without exchange", exchange = false), 10).maxEndpointsCrashed).isGreaterThan(3)

        // Stricter than a share of all requests: fewer than 1 in 1,000 of those in flight at a crash are refused.
        expectThat(counts.harmlessRefused * 1_000).isLessThan(counts.suspects)
        expectThat(counts.harmlessLate).isEqualTo(0)
        expectThat(chains.harmlessRefused * 1_000).isLessThan(chains.harmless)
    }

    @Test
    fun `fewer harmless requests are refused when suspects are isolated`() {
        val few = CrashScenario("3 endpoints", endpoints = 3, requestsPerSecond = 10)
        val isolated = run(few, 50)
        expectThat(isolated.maxEndpointsCrashed).isLessThanOrEqualTo(3)
        expectThat(run(few.copy(name = "3 endpoints, not isolated", isolate = false), 50).harmlessRefused)
            .isGreaterThan(isolated.harmlessRefused)
        run(CrashScenario("two copies at once, no bound", copies = 2), 50)
        run(CrashScenario("six endpoints of a rack fail, no bound", rackFails = true), 50)
    }

    @Test
    fun `an operator can release a request that is refused by mistake`() {
        val guard = CrashGuard(CrashSettings(), InstanceId("i"))
        val request = Fingerprint("f")
        (1..3).map { EndpointId("e$it") }.forEach { endpoint ->
            guard.onStarted(Timestamp.ZERO, request, listOf(endpoint))
            guard.onCrash(Timestamp.ZERO, endpoint)
        }
        expectThat(guard.admit(Timestamp.ZERO, request)).isEqualTo(Admission.Refuse)
        expectThat(guard.identifiedCauses()).isEqualTo(setOf(request))
        guard.release(request)
        expectThat(guard.admit(Timestamp.ZERO, request)).isEqualTo(Admission.Free)
    }
}
