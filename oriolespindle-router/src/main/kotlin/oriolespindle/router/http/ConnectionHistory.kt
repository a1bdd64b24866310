package oriolespindle.router.http

import io.netty.channel.Channel
import io.netty.channel.ChannelId

/**
 * The connections over which one request was sent.
 *
 * A request that is sent again must not use any of them: a second copy of the answer to the earlier sending bears the
 * request's id, too, and could not be told from the answer to the later one.
 */
public class ConnectionHistory {
    @Volatile
    private var used: Set<ChannelId> = emptySet()

    @Synchronized
    internal fun add(connection: Channel) {
        used = used + connection.id()
    }

    internal operator fun contains(connection: Channel): Boolean = connection.id() in used
}
