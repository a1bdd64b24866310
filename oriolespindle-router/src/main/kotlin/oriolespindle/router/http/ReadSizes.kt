package oriolespindle.router.http

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator

private const val MIN_READ_BYTES = 64
private const val INITIAL_READ_BYTES = 2_048
private const val MAX_READ_BYTES = 16 * 1024

/**
 * Returns the sizes of the reads from one connection, which has one read in each iteration of the event loop.
 *
 * They bound how long the other connections wait while bytes arrive faster than they are handled, such as a body in
 * chunks of one byte.
 */
internal fun readSizes(): RecvByteBufAllocator =
    AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1)
