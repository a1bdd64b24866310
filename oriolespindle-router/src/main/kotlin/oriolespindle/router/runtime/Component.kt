package oriolespindle.router.runtime

import org.jctools.queues.MpscArrayQueue
import org.tinylog.kotlin.Logger
import java.lang.invoke.VarHandle
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.LockSupport

/**
 * A single-threaded message loop that handles the messages of a bounded ring buffer one at a time, in order.
 *
 * Any thread may offer messages. State that is touched only from [handle] needs no further synchronization.
 */
internal class Component<M : Any>(
    private val name: String,
    capacity: Int,
    private val halt: (Int) -> Unit = Runtime.getRuntime()::halt,
    private val handle: (M) -> Unit,
) {
    private val ring = MpscArrayQueue<M>(capacity)
    private val parked = AtomicBoolean(false)
    private val thread = Thread(::run, name).apply { isDaemon = true }

    @Volatile
    private var stopping = false

    /** The number of queued messages. */
    val depth: Int get() = ring.size

    fun start() {
        thread.start()
    }

    /** Adds [message] and returns true, or returns false without waiting if the ring buffer is full. */
    fun offer(message: M): Boolean {
        if (!ring.offer(message)) return false
        // The ring buffer publishes without a full fence. Without the fence here, a thread that is about to park could
        // miss the message and sleep until its park times out.
        VarHandle.fullFence()
        if (parked.get()) LockSupport.unpark(thread)
        return true
    }

    /** Stops the thread after it has handled the messages that are already queued. */
    fun stop() {
        stopping = true
        LockSupport.unpark(thread)
    }

    private fun run() {
        while (true) {
            val message = ring.poll()
            if (message != null) {
                handleOrHalt(message)
            } else if (stopping) {
                return
            } else {
                park()
            }
        }
    }

    private fun park() {
        parked.set(true)
        if (ring.isEmpty && !stopping) LockSupport.parkNanos(PARK_TIMEOUT_NANOS)
        parked.set(false)
    }

    private fun handleOrHalt(message: M) {
        try {
            handle(message)
        } catch (e: Throwable) {
            // A broken invariant leaves the component's state undefined, so the process must not continue; an Error
            // would end the thread alone, and the process would go on without the component.
            try {
                Logger.error(e, "component {} failed on {}", name, message.javaClass.simpleName)
            } finally {
                halt(EXIT_BROKEN_INVARIANT)
            }
        }
    }

    private companion object {
        const val PARK_TIMEOUT_NANOS = 500_000_000L
        const val EXIT_BROKEN_INVARIANT = 70
    }
}
