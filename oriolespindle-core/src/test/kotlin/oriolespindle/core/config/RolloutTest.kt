package oriolespindle.core.config

import org.junit.jupiter.api.Test
import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against reporting that a change is in force everywhere when it is not. */
class RolloutTest {
    private val now = Timestamp.ZERO
    private val a = InstanceId("a")
    private val b = InstanceId("b")
    private val rollout = Rollout(RolloutSettings(maxQueriesPerStep = 1)).apply { setExpectedInstances(setOf(a, b)) }

    @Test
    fun `guards against counting an instance that never reported`() {
        rollout.onReport(now, a, Revision(7))

        val status = rollout.status(now, Revision(7))

        expectThat(status.inForceEverywhere).isFalse()
        expectThat(status.lagging).containsExactly(LaggingInstance(b, null, null))
    }

    @Test
    fun `guards against a late report that revokes a confirmation`() {
        rollout.onReport(now, a, Revision(7))
        rollout.onReport(now, b, Revision(8))
        rollout.onReport(now, b, Revision(6))

        expectThat(rollout.status(now, Revision(7)).inForceEverywhere).isTrue()
    }

    @Test
    fun `guards against waiting for a terminated instance and against reporting an empty fleet as in force`() {
        rollout.onReport(now, a, Revision(7))
        rollout.setExpectedInstances(setOf(a))
        expectThat(rollout.status(now, Revision(7)).confirmed).isEqualTo(1)
        expectThat(rollout.status(now, Revision(7)).inForceEverywhere).isTrue()

        rollout.setExpectedInstances(emptySet())
        expectThat(rollout.status(now, Revision(7)).inForceEverywhere).isFalse()
    }

    @Test
    fun `guards against querying one lagging instance repeatedly while others wait`() {
        expectThat(List(3) { rollout.nextToQuery(now, Revision(7)) }).containsExactly(listOf(a), listOf(b), emptyList())
        expectThat(rollout.nextToQuery(now + 2.seconds, Revision(7))).containsExactly(a)
    }
}
