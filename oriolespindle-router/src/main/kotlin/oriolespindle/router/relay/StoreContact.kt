package oriolespindle.router.relay

import oriolespindle.core.config.Revision
import oriolespindle.core.time.Timestamp
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration

/** What this instance knows of one kind of objects: up to which revision of the store, and since when. */
internal class StoreContact {
    private var confirmedAt: Timestamp? = null

    /** The revision up to which all changes are known. */
    var revision: Revision = Revision.NONE
        private set

    /** The time since the store last confirmed [revision]; null before the first confirmation. */
    val age: Duration? get() = confirmedAt?.let { monotonicNow() - it }

    fun onConfirmed(revision: Revision) {
        this.revision = revision
        confirmedAt = monotonicNow()
    }
}
