package oriolespindle.testkit.platform

import io.netty.channel.EventLoop
import oriolespindle.testkit.http.LineStream
import oriolespindle.testkit.http.wireJson
import java.util.concurrent.TimeUnit

/** One open watch; its lines keep their order when the delay changes. */
internal class WatchStream(
    val kinds: Set<String>,
    val connection: Long,
    private val stream: LineStream,
    private val loop: EventLoop,
) {
    private var lastDue = System.nanoTime()

    val isOpen: Boolean get() = stream.isOpen

    fun send(
        line: WatchLine,
        delayMillis: Long,
    ) {
        val text = wireJson.encodeToString(line)
        val now = System.nanoTime()
        lastDue = maxOf(lastDue, now + TimeUnit.MILLISECONDS.toNanos(delayMillis))
        loop.schedule({ stream.line(text) }, lastDue - now, TimeUnit.NANOSECONDS)
    }

    fun drop() {
        stream.drop()
    }
}
