package oriolespindle.testkit.service

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.testkit.AnswerLoss
import oriolespindle.testkit.http.TestClient
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import java.io.IOException

class ServiceFakeTest {
    private val service = ServiceFake.start("s1")

    @AfterEach
    fun stop() = service.close()

    private fun post(key: String) =
        TestClient(service.address).call(
            "POST",
            "/stock/deduct",
            "{}",
            mapOf("Idempotency-Key" to key, "Oriolespindle-Request-Id" to "r-$key"),
        )

    @Test
    fun `repeats of a key are counted and not recognised, so that a router that repeats is found out`() {
        post("k1")
        post("k1")

        expectThat(service.effects).isEqualTo(ServiceEffects(2, mapOf("k1" to 2), mapOf("r-k1" to 2)))
    }

    @Test
    fun `a lost answer comes after the effect and a refusal as not run without one`() {
        service.inject(ServiceFault.LoseAnswers(AnswerLoss(next = 1)))
        expectThrows<IOException> { post("k1") }
        service.inject(ServiceFault.NotRun(next = 1))
        val refused = post("k2")
        service.inject(ServiceFault.Draining)

        expectThat(refused.status).isEqualTo(503)
        expectThat(refused.headers["oriolespindle-outcome"]).isEqualTo("not-run")
        expectThat(post("k3").body).isEqualTo("""{"outcome":"not_run","reason":"draining"}""")
        expectThat(service.effects.byKey).isEqualTo(mapOf("k1" to 1))
    }
}
