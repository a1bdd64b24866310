package oriolespindle.router.endpoint

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.junit.jupiter.api.Test
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.RequestId
import oriolespindle.router.http.ClientEvent
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class EngineStreamTest {
    private fun signalOf(refusal: String): EngineSignal {
        val signals = ArrayList<EngineSignal>()
        val stream = EngineStream(RequestId("r2"), AttemptNumber.FIRST) { signals.add(it) }
        stream.handle(ClientEvent.Head(503, DefaultHttpHeaders()))
        stream.handle(ClientEvent.Data(refusal.toByteArray()))
        stream.handle(ClientEvent.End)
        return signals.single()
    }

    // Guards against a refusal that an engine repeats on a kept connection while it runs the next request.
    @Test
    fun `does not take the refusal of another attempt for proof that this one did not run`() {
        val other = """{"request":"r1","attempt":1,"outcome":"not_run","reason":"busy"}"""
        val own = """{"request":"r2","attempt":1,"outcome":"not_run","reason":"busy"}"""

        expectThat(signalOf(other)).isEqualTo(EngineSignal.BadAnswer(503))
        expectThat(signalOf("""{"outcome":"not_run","reason":"busy"}""")).isEqualTo(EngineSignal.BadAnswer(503))
        expectThat(signalOf(own)).isEqualTo(EngineSignal.Refused("busy"))
    }
}
