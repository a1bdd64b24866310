package oriolespindle.core.placement

import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against layers that are divided among the first few endpoints of a starting fleet. */
class ColdStartTest {
    private val start = Timestamp.ZERO
    private val all = ModelFleet.endpoints()

    /** Places layers like the holder of the placement lease while endpoints register one after the other. */
    private fun placedWhileRegistering(mayPlace: (Timestamp, List<RelayEndpoint>) -> Boolean): List<RelayEndpoint> {
        val placer = LayerPlacer()
        var registered = emptyList<RelayEndpoint>()
        repeat(100) { tick ->
            val now = start + 100.milliseconds * tick
            // The large endpoints register last.
            val known = all.sortedBy { it.accelerator != "small" }.take(2 * tick)
            registered = known.map { endpoint -> registered.firstOrNull { it.id == endpoint.id } ?: endpoint }
            if (mayPlace(now, registered)) {
                registered = ModelFleet.carryOut(registered, placer.orders(ModelFleet.model, registered, emptyMap()))
            }
        }
        return registered
    }

    private fun maxLayerCount(endpoints: List<RelayEndpoint>) = endpoints.mapNotNull { it.layers?.size }.max()

    @Test
    fun `layers of a starting fleet are placed after all endpoints have registered`() {
        val coldStart = ColdStart()
        val placed = placedWhileRegistering(coldStart::mayPlace)

        expectThat(
            placed.associate { it.id to it.layers },
        ).isEqualTo(ModelFleet.placed().associate { it.id to it.layers })
        // Without the delay, small endpoints get so many layers that they lack room for the typical number of requests.
        val placedWithoutWait = placedWhileRegistering { _, _ -> true }
        expectThat(placedWithoutWait.filter { it.accelerator == "small" }.let(::maxLayerCount) > 6).isTrue()
    }

    @Test
    fun `a running fleet is repaired at once`() {
        val coldStart = ColdStart()
        val running = ModelFleet.placed()

        expectThat(coldStart.mayPlace(start, running)).isTrue()
        expectThat(ColdStart().mayPlace(start, all)).isFalse()
        expectThat(ColdStart().mayPlace(start, emptyList())).isFalse()
        val restarted = ColdStart().also { it.mayPlace(start, all) }
        expectThat(restarted.mayPlace(start + 3.seconds, all)).isTrue()
    }
}
