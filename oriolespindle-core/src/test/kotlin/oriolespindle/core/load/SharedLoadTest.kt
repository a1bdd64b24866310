package oriolespindle.core.load

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ZoneId
import oriolespindle.core.placement.LayerPath
import oriolespindle.core.placement.ModelFleet
import oriolespindle.core.placement.PathPart
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SharedLoadTest {
    private val endpoint = EndpointId("e")
    private val path =
        LayerPath(listOf(PathPart(ModelFleet.endpoint("e", "a", "large", LayerRange(0, 10)), LayerRange(0, 10))), 0.0)
    private val load = SharedLoad().apply { instances = 4 }

    private fun at(since: Duration) = Timestamp.ZERO + since

    private fun report(
        from: String,
        sequence: Long,
        tokens: Long,
    ) = LoadReport(InstanceId(from), sequence, mapOf(endpoint to tokens).filterValues { it > 0 })

    private fun total() = load.zoneTokens()[endpoint]

    @Test
    fun `guards against missing peers that count as idle`() {
        load.onRequestStarted(path, tokens = 100)
        expectThat(total()).isEqualTo(4_000)

        load.onReport(at(0.seconds), report("b", 1, 3_000))
        expectThat(total()).isEqualTo(8_000)

        load.onReport(at(0.seconds), report("c", 1, 0))
        load.onReport(at(0.seconds), report("d", 1, 2_000))
        expectThat(total()).isEqualTo(6_000)
    }

    @Test
    fun `guards against an older report that replaces a newer one, and a lost peer that counts forever`() {
        load.onReport(at(0.seconds), report("b", 2, 3_000))
        load.onReport(at(0.seconds), report("b", 1, 9_000))
        expectThat(total()).isEqualTo(6_000)

        load.removeExpired(at(1_500.milliseconds))
        expectThat(total()).isEqualTo(6_000)
        load.removeExpired(at(1_501.milliseconds))
        expectThat(total()).isNull()
    }

    @Test
    fun `guards against an idle peer that counts as loaded since one of its reports was lost`() {
        load.onReport(at(0.seconds), report("b", 1, 0))
        load.removeExpired(at(2_200.milliseconds))

        expectThat(load.reportingPeers).isEqualTo(1)
    }

    @Test
    fun `guards against reports that are sent too often, or stop while the load is unchanged`() {
        val reporter = LoadReporter(InstanceId("a"), ZoneId("a"))
        val sentAt = { until: Duration ->
            (0..until.inWholeMilliseconds step 100).filter {
                reporter.nextReport(at(it.milliseconds), load, peers = 3) != null
            }
        }
        expectThat(sentAt(2.seconds)).isEqualTo(listOf<Long>(0, 1_000, 2_000))

        load.onRequestStarted(path, tokens = 100)
        expectThat(reporter.nextReport(at(2_200.milliseconds), load, peers = 3)).isNull()
        expectThat(reporter.nextReport(at(2_300.milliseconds), load, peers = 3)).isNotNull()
        expectThat(reporter.nextReport(at(2_800.milliseconds), load, peers = 3)).isNull()
        expectThat(reporter.nextReport(at(2_900.milliseconds), load, peers = 3)).isNotNull()
        load.onRequestStarted(path, tokens = 100)
        expectThat(reporter.nextReport(at(3_800.milliseconds), load, peers = 100)).isNull()
    }

    @Test
    fun `guards against zones without a sender, and with many`() {
        val reporter = LoadReporter(InstanceId("b"), ZoneId("a"))
        expectThat(reporter.nextZoneReport(at(0.seconds), load)).isNotNull()

        load.onReport(at(1.seconds), report("a", 1, 0))
        load.onReport(at(1.seconds), report("c", 1, 0))
        expectThat(reporter.nextZoneReport(at(3.seconds), load)).isNull()
        expectThat(reporter.nextZoneReport(at(3_001.milliseconds), load)).isNotNull()
    }

    @Test
    fun `guards against a sum from each instance of a large zone, whose reports are further apart`() {
        val reporter = LoadReporter(InstanceId("b"), ZoneId("a"))
        load.instances = 101
        load.onReport(at(0.seconds), report("a", 1, 0))

        expectThat(reporter.nextZoneReport(at(8.seconds), load)).isNull()
    }

    @Test
    fun `guards against the sum of a lost zone that counts forever`() {
        val sum = { sequence: Long -> ZoneLoadReport(InstanceId("x"), sequence, ZoneId("z"), mapOf(endpoint to 70)) }
        load.onZoneReport(at(0.seconds), sum(2))
        load.onZoneReport(at(1.seconds), sum(1))
        load.removeExpired(at(3.seconds))
        expectThat(load.isKnown(ZoneId("z"))).isEqualTo(true)

        load.removeExpired(at(3_001.milliseconds))
        expectThat(load.isKnown(ZoneId("z"))).isEqualTo(false)
    }
}
