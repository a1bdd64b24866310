package oriolespindle.core.lease

import org.junit.jupiter.api.Test
import oriolespindle.core.config.Revision
import oriolespindle.core.config.WriteAction
import oriolespindle.core.config.WriteEvent
import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

/** Guards against a lease that stays taken because its holder shut down during a renewal. */
class LeaseReleaseTest {
    private val holder = LeaseHolder(LeaseSettings(InstanceId("i")))
    private val start = Timestamp.ZERO + 100.seconds

    private fun writes(actions: List<LeaseAction>): List<WriteAction.Write> =
        actions.filterIsInstance<LeaseAction.Perform>().map { it.action }.filterIsInstance<WriteAction.Write>()

    private fun applied(revision: Long) = LeaseEvent.Write(WriteEvent.Applied(Revision(revision)))

    private fun holderOf(write: WriteAction.Write) = LeaseValue.parseOrNull(checkNotNull(write.value))?.holder

    @Test
    fun `a release requested during a renewal is written after the renewal`() {
        holder.handle(start, LeaseEvent.Candidate(rank = 0))
        holder.handle(start, LeaseEvent.Observed(current = null))
        holder.handle(start, applied(5))
        val renewal = writes(holder.handle(start + 5.seconds, LeaseEvent.Tick))
        expectThat(renewal).hasSize(1)
        expectThat(writes(holder.handle(start + 5.seconds, LeaseEvent.Release))).hasSize(0)

        val release = writes(holder.handle(start + 5.seconds, applied(6)))

        expectThat(release).hasSize(1)
        expectThat(release.single().expected).isNotNull().isEqualTo(Revision(6))
        expectThat(holderOf(release.single())).isNull()
    }
}
