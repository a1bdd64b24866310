package oriolespindle.router.http

import io.netty.channel.Channel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Pools idle connections by address; the most recently used is taken first, so that the others can expire. */
internal class ConnectionPool(
    private val maxIdle: Duration,
    private val maxIdlePerAddress: Int,
) {
    private class Idle(
        val channel: Channel,
        val since: TimeMark,
        val usableFor: Duration,
    )

    private val idle = ConcurrentHashMap<Address, ConcurrentLinkedDeque<Idle>>()

    /**
     * Removes and returns an open connection that has been idle for less than [maxIdle], or returns null.
     *
     * Connections that [mayUse] rejects stay in the pool for other requests.
     */
    fun take(
        address: Address,
        maxIdle: Duration = this.maxIdle,
        mayUse: (Channel) -> Boolean = { true },
    ): Channel? {
        val connections = idle[address] ?: return null
        for (entry in connections) {
            // Another thread may have taken the entry in the meantime.
            if (!mayUse(entry.channel) || !connections.remove(entry)) continue
            if (entry.channel.isActive && entry.since.elapsedNow() < minOf(maxIdle, entry.usableFor)) {
                return entry.channel
            }
            entry.channel.close()
        }
        return null
    }

    fun put(
        address: Address,
        channel: Channel,
        keepAliveTimeout: Duration? = null,
    ) {
        val connections = idle.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        if (connections.size >= maxIdlePerAddress) {
            channel.close()
        } else {
            val usableFor = minOf(maxIdle, keepAliveTimeout ?: maxIdle)
            connections.addFirst(Idle(channel, TimeSource.Monotonic.markNow(), usableFor))
        }
    }

    fun closeExpired() {
        idle.values.forEach { connections ->
            connections.removeIf { entry ->
                val expired = !entry.channel.isActive || entry.since.elapsedNow() >= entry.usableFor
                if (expired) entry.channel.close()
                expired
            }
        }
        idle.entries.removeIf { it.value.isEmpty() }
    }

    fun closeAll(address: Address) {
        idle.remove(address)?.forEach { it.channel.close() }
    }
}
