package oriolespindle.testkit.engine

import java.util.concurrent.atomic.AtomicInteger

/** The faults in force at an engine. */
internal data class FaultState(
    val crashText: String? = null,
    val frozen: Boolean = false,
    val draining: Boolean = false,
    val busy: Boolean = false,
    val truncate: EngineFault.Truncate? = null,
    val truncationsLeft: AtomicInteger = AtomicInteger(),
    val duplicateEvery: Int? = null,
    val reorderEvery: Int? = null,
    val foreign: EngineFault.ForeignLines? = null,
    val slowLinkMillis: Long = 0,
    val slowOrderMillis: Long = 0,
) {
    fun with(fault: EngineFault): FaultState =
        when (fault) {
            EngineFault.Healthy -> FaultState()
            is EngineFault.CrashOnPrompt -> copy(crashText = fault.text)
            is EngineFault.Freeze -> copy(frozen = !fault.openStreamsOnly)
            EngineFault.Draining -> copy(draining = true)
            EngineFault.Busy -> copy(busy = true)
            is EngineFault.Truncate -> copy(truncate = fault, truncationsLeft = AtomicInteger(fault.streams))
            is EngineFault.Duplicate -> copy(duplicateEvery = fault.every)
            is EngineFault.Reorder -> copy(reorderEvery = fault.every)
            is EngineFault.ForeignLines -> copy(foreign = fault)
            is EngineFault.SlowLink -> copy(slowLinkMillis = fault.millis)
            is EngineFault.SlowOrders -> copy(slowOrderMillis = fault.millis)
        }

    /** Returns whether a stream that has sent [lines] lines is cut now. */
    fun truncatesAfter(lines: Int): Boolean {
        val limit = truncate ?: return false
        return lines >= limit.afterLines && truncationsLeft.getAndUpdate { maxOf(0, it - 1) } > 0
    }
}
