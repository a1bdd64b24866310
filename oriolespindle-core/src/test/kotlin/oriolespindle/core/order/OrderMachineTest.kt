package oriolespindle.core.order

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import oriolespindle.core.config.Revision
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Guards against orders of a former lease holder, overlapping orders, and layers that no endpoint holds. */
class OrderMachineTest {
    private val model = ModelId("m")
    private var version = 0L

    private fun engine(
        name: String,
        checksFence: Boolean = true,
        layers: LayerRange? = LayerRange(0, 4),
    ) = FakeEngine(EndpointId(name), checksFence, EndpointState(model.takeIf { layers != null }, layers, "1"))

    private fun order(
        endpoint: String,
        command: OrderCommand,
    ) = OperatorOrder("order-${++version}", Revision(version), EndpointId(endpoint), command)

    private fun load(
        first: Int,
        end: Int,
        release: String = "1",
        bytes: Long = 0,
    ) = OrderCommand.Load(model, LayerRange(first, end), release, bytes = bytes)

    private fun fleet(vararg engines: FakeEngine) =
        OrderFleet(seed = 3, size = 3, engines.toList()).apply {
            run(40.seconds)
        }

    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `a late order of a holder that was frozen after its last check is rejected or corrected`(checksFence: Boolean) {
        val engine = engine("e1", checksFence)
        val fleet = fleet(engine, engine("e2"))
        fleet.freezeAfterCheck = 60.seconds
        fleet.submit(order("e1", OrderCommand.ChangeRole("prefill")))
        fleet.run(1.seconds)
        fleet.submit(order("e1", OrderCommand.ChangeRole("decode")))

        fleet.run(50.seconds)
        expectThat(engine.state.role).isEqualTo("decode")
        fleet.run(12.seconds)
        val roleAfterThaw = engine.state.role
        val thawedAt = fleet.lease.time.now
        while (engine.state.role != "decode" && fleet.lease.time.now - thawedAt < 60.seconds) fleet.run(1.seconds)

        val corrected = fleet.lease.time.now - thawedAt
        println("orders, holder frozen after its check, fence checked $checksFence: corrected after $corrected")
        expectThat(roleAfterThaw).isEqualTo(if (checksFence) "decode" else "prefill")
        expectThat(engine.staleOrders).isEqualTo(if (checksFence) 1 else 0)
        expectThat(engine.state.role).isEqualTo("decode")
        expectThat(corrected).isLessThanOrEqualTo(OrderSettings().verifyInterval + 2.seconds)
    }

    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `a holder that was frozen past its lease before its last check sends nothing`(checksFence: Boolean) {
        val engine = engine("e1", checksFence)
        val fleet = fleet(engine, engine("e2"))
        val frozenHolder = fleet.lease.holders().single()
        frozenHolder.pausedUntil = fleet.lease.time.now + 60.seconds
        fleet.submit(order("e1", OrderCommand.ChangeRole("prefill")))
        fleet.run(80.seconds)

        expectThat(engine.state.role).isEqualTo("prefill")
        expectThat(engine.acceptedOrders).isEqualTo(1)
        expectThat(engine.staleOrders).isEqualTo(0)
    }

    @Test
    fun `no orders are sent while the platform is down`() {
        val engines = listOf(engine("e1"), engine("e2", checksFence = false))
        val fleet = OrderFleet(seed = 5, size = 3, engines)
        fleet.lease.isDown = true
        fleet.submit(order("e1", OrderCommand.ChangeRole("decode")), order("e2", OrderCommand.ChangeRole("decode")))
        fleet.run(300.seconds)
        expectThat(engines.sumOf { it.acceptedOrders }).isEqualTo(0)

        fleet.lease.isDown = false
        fleet.run(60.seconds)
        expectThat(engines.map { it.state.role }).isEqualTo(listOf("decode", "decode"))

        fleet.lease.isDown = true
        fleet.run(20.seconds)
        fleet.submit(order("e1", OrderCommand.ChangeRole("prefill")))
        fleet.run(120.seconds)
        expectThat(engines.sumOf { it.acceptedOrders }).isEqualTo(2)
    }

    @Test
    fun `no second order is sent while the result of the first is unknown`() {
        val engine = engine("e1", checksFence = false)
        val fleet = fleet(engine, engine("e2"))
        fleet.loadTime = 20.seconds
        fleet.loseAnswer = { true }
        fleet.submit(order("e1", load(0, 4, release = "2")))
        fleet.run(5.seconds)
        fleet.submit(order("e1", load(0, 4, release = "3")))
        fleet.run(60.seconds)

        expectThat(engine.state.version).isEqualTo("3")
        expectThat(engine.acceptedOrders).isEqualTo(2)
        expectThat(engine.overlappingOrders).isEqualTo(0)
    }

    @Test
    fun `every layer is held by an endpoint during random loads and unloads`() {
        var waitCount = 0
        repeat(100) { seed ->
            val random = Random(seed)
            val names = (1..5).map { "e$it" }
            val engines =
                names.map {
                    engine(
                        it,
                        random.nextBoolean(),
                        if (it <
                            "e4"
                        ) {
                            LayerRange(0, 4)
                        } else {
                            LayerRange(4, 8)
                        },
                    )
                }
            val fleet = OrderFleet(seed.toLong(), size = 2, engines)
            fleet.loseAnswer = { random.nextInt(5) == 0 }
            repeat(60) {
                if (random.nextInt(8) == 0) fleet.submit(*names.map { order(it, randomCommand(random)) }.toTypedArray())
                val pause = random.nextInt(1, 25).seconds
                val isPausing = random.nextInt(25) == 0
                if (isPausing) fleet.lease.holders().forEach { it.pausedUntil = fleet.lease.time.now + pause }
                repeat(20) {
                    fleet.run(0.1.seconds)
                    val layers = engines.mapNotNull { it.heldLayers }.flatMap { it.first until it.end }.toSet()
                    expectThat(layers.size).isEqualTo(8)
                }
            }
            expectThat(engines.sumOf { it.overlappingOrders }).isEqualTo(0)
            waitCount += fleet.reports.count { it.progress == OrderProgress.WAITING_FOR_COVERAGE }
        }
        println("orders, 100 seeds of random loads and unloads at 5 endpoints: $waitCount waited, every layer held")
        expectThat(waitCount).isGreaterThan(0)
    }

    private fun randomCommand(random: Random): OrderCommand =
        when (random.nextInt(4)) {
            0 -> OrderCommand.Unload(model)
            1 -> load(0, 4)
            2 -> load(4, 8)
            else -> OrderCommand.ChangeRole("decode")
        }

    @Test
    fun `the result of conflicting orders does not depend on the order in which they arrive`() {
        val orders = (1..4).map { order("e1", OrderCommand.ChangeRole("role-$it")) }
        val results =
            (0 until 12).map { seed ->
                val engine = engine("e1", checksFence = seed % 2 == 0)
                val fleet = fleet(engine)
                val shuffled = orders.shuffled(Random(seed))
                fleet.submit(*shuffled.toTypedArray())
                fleet.run(30.seconds)
                expectThat(
                    fleet.reports
                        .filter { it.progress == OrderProgress.SUPERSEDED }
                        .map { it.order }
                        .toSet(),
                ).isEqualTo(orders.dropLast(1).toSet())
                engine.state.role
            }

        expectThat(results.toSet()).isEqualTo(setOf("role-4"))
    }

    @Test
    fun `loads do not exceed the rate of the weight store`() {
        val engines = (10..29).map { engine("e$it", layers = null) }
        val fleet = fleet(*engines.toTypedArray())
        val bytes = 10_000_000_000L
        fleet.submit(*engines.map { order(it.id.value, load(0, 4, bytes = bytes)) }.toTypedArray())
        fleet.run(200.seconds)

        val duration = fleet.loads.last().first - fleet.loads.first().first
        val rate = bytes * (fleet.loads.size - 1) / (duration.inWholeMilliseconds / 1e3)
        println("orders, 20 loads of 10 GB, store of 2 GB/s: %.2f GB/s".format(rate / 1e9))
        expectThat(fleet.loads.size).isEqualTo(20)
        expectThat(rate).isLessThanOrEqualTo(OrderSettings().weightStoreBytesPerSecond.toDouble())
        expectThat(engines.all { it.state.model == model }).isTrue()
    }

    @Test
    fun `engines that ignore the fence get no order until the longest order of the former holder has expired`() {
        val ignoring = engine("e1", checksFence = false)
        val checking = engine("e2")
        val fleet = fleet(ignoring, checking)
        val formerHolder = fleet.lease.holders().single()
        formerHolder.pausedUntil = fleet.lease.time.now + 300.seconds
        fleet.submit(order("e1", OrderCommand.ChangeRole("a")), order("e2", OrderCommand.ChangeRole("a")))
        while (fleet.lease.holders().none { it !== formerHolder }) fleet.run(0.1.seconds)
        val acquired = fleet.lease.time.now

        fleet.run(2.seconds)
        expectThat(checking.state.role).isEqualTo("a")
        expectThat(ignoring.acceptedOrders).isEqualTo(0)
        while (ignoring.acceptedOrders == 0) fleet.run(0.1.seconds)

        expectThat(fleet.lease.time.now - acquired).isGreaterThan(OrderSettings().orderTtl)
        expectThat(fleet.reports.map { it.progress }).contains(OrderProgress.DONE)
        expectThat(fleet.reports.filter { it.progress == OrderProgress.SUPERSEDED }).isEmpty()
    }
}
