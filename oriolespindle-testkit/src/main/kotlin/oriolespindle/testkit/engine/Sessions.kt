package oriolespindle.testkit.engine

import kotlinx.serialization.Serializable
import oriolespindle.core.id.LayerRange

/** The KV cache of one request: [layers] for the answer positions below [tokens]. */
@Serializable
internal data class Session(
    val request: String,
    val tokens: Int,
    val layers: LayerRange,
)

/** The KV cache sessions of an engine; the least recently used one beyond [limit] is evicted. */
internal class Sessions(
    private val limit: Int,
) {
    private val held =
        object : LinkedHashMap<String, Session>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Session>): Boolean = size > limit
        }

    @Synchronized
    fun hold(session: Session) {
        held[session.request] = session
    }

    @Synchronized
    fun get(request: String): Session? = held[request]

    @Synchronized
    fun remove(request: String): Boolean = held.remove(request) != null

    @Synchronized
    fun all(): List<Session> = held.values.toList()
}

/** Returns whether a stage that runs [layers] can go on from position [from] with this session. */
internal fun Session.serves(
    layers: LayerRange,
    from: Int,
): Boolean = layers in this.layers && tokens >= from
