package oriolespindle.testkit.platform

import io.netty.channel.EventLoop
import oriolespindle.testkit.http.LineStream
import oriolespindle.testkit.http.OrderedDelay
import oriolespindle.testkit.http.wireJson

/** One open watch; its lines keep their order when the delay changes. */
internal class WatchStream(
    val kinds: Set<String>,
    val connection: Long,
    private val stream: LineStream,
    loop: EventLoop,
) {
    private val delay = OrderedDelay(loop)

    fun send(
        line: WatchLine,
        delayMillis: Long,
    ) {
        val text = wireJson.encodeToString(line)
        delay.run(delayMillis) { stream.line(text) }
    }

    fun drop() {
        stream.drop()
    }
}
