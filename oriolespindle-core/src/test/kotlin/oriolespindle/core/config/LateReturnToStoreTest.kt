package oriolespindle.core.config

import org.junit.jupiter.api.Test
import oriolespindle.core.relay.DirectorySettings
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isLessThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against old state in use beyond the limit because an instance waits for a store that is back. */
class LateReturnToStoreTest {
    private val limit = 3.seconds
    private val start = Timestamp.ZERO + 10.seconds

    /** The first call after an outage: the time from the end of the outage to its start, and the call itself. */
    private class FirstCall(
        val sentAfter: Duration,
        val call: WatchCall,
        val isStoreLost: Boolean,
    )

    /** Plays an outage that begins at zero, [phase] after a watch was opened; later calls end after [failsAfter]. */
    private fun firstCallAfterOutage(
        end: Duration,
        phase: Duration,
        failsAfter: (WatchCall) -> Duration,
    ): FirstCall {
        val timing = WatchTiming(WatchTimingSettings(silenceLimit = limit))
        var at = start - phase
        at += timing.start(at).timeout
        at += timing.onFailure(at)
        while (at < start + end) {
            at += failsAfter(timing.start(at))
            at += timing.onFailure(at)
        }
        return FirstCall(sentAfter = at - start - end, timing.start(at), timing.isStoreLost)
    }

    private fun firstCalls(failsAfter: (WatchCall) -> Duration): List<FirstCall> =
        (0..MAX_OUTAGE_TENTHS * 10).flatMap { end ->
            (0..20).map { phase ->
                firstCallAfterOutage(10.milliseconds * end, 100.milliseconds * phase, failsAfter)
            }
        }

    private val allOutages =
        firstCalls { it.timeout } + firstCalls { minOf(it.timeout, CONNECT_TIMEOUT) } + firstCalls { ZERO }

    @Test
    fun `a change is known in time after an outage of any length`() {
        expectThat(allOutages.maxOf { it.sentAfter }).isLessThan(limit)
    }

    @Test
    fun `endpoints that were removed in an outage are out of use in time`() {
        val renewal = DirectorySettings().renewalTimeout

        val latest = allOutages.filter { it.isStoreLost }.maxOf { it.sentAfter + it.call.wait + renewal }

        expectThat(latest).isLessThan(limit)
    }

    private companion object {
        val CONNECT_TIMEOUT = 400.milliseconds
        const val MAX_OUTAGE_TENTHS = 150
    }
}
