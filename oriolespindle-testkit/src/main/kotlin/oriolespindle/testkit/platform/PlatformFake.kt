package oriolespindle.testkit.platform

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import oriolespindle.testkit.AnswerLoss
import oriolespindle.testkit.AnswerLossState
import oriolespindle.testkit.Handle
import oriolespindle.testkit.http.ErrorBody
import oriolespindle.testkit.http.HttpExchange
import oriolespindle.testkit.http.HttpServer
import oriolespindle.testkit.http.sharedLoops
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** The platform stores values of up to 1 MiB. */
private const val MAX_VALUE_BYTES = 1024 * 1024

private const val IDLE_LINE_MILLIS = 1000L

/**
 * A fake of the platform's object API that keeps everything in memory.
 *
 * It answers on [address] and, for control only, on [controlAddress], which stays reachable under every fault.
 */
public class PlatformFake private constructor(
    port: Int,
    controlPort: Int,
) : Handle {
    private val store = ObjectStore()
    private val registry = InstanceRegistry()
    private val watches = mutableListOf<WatchStream>()
    private var faults = Faults()
    private var counted = PlatformCalls()
    private val server = HttpServer(::handle)
    private val control = HttpServer(::handleControl)
    private val ticker: Future<*>

    private data class Faults(
        val unavailable: Boolean = false,
        val hang: Boolean = false,
        val slowMillis: Long = 0,
        val instanceLagMillis: Long = 0,
        val loss: AnswerLossState = AnswerLossState(AnswerLoss()),
        val hungBefore: Long = 0,
    )

    init {
        server.start(port)
        control.start(controlPort)
        ticker =
            sharedLoops.scheduleAtFixedRate(::sendIdleLines, IDLE_LINE_MILLIS, IDLE_LINE_MILLIS, TimeUnit.MILLISECONDS)
    }

    override val address: String get() = server.address

    /** Where `/_control` is answered under every fault, as `HOST:PORT`. */
    public val controlAddress: String get() = control.address

    /** The number of calls since the start. */
    @get:Synchronized
    public val calls: PlatformCalls get() = counted

    /** The revision of the last write. */
    @get:Synchronized
    public val revision: Long get() = store.revision

    /** Adds a fault to the ones in force; [PlatformFault.Healthy] ends them. */
    public fun inject(fault: PlatformFault) {
        synchronized(this) {
            faults = faults.with(fault)
            if (fault == PlatformFault.Unavailable) watches.forEach { it.drop() }
        }
        // Outside the lock: both wait for event loops, which take the lock to answer calls and to end watches.
        if (fault == PlatformFault.Refuse) server.refuse()
        if (fault == PlatformFault.Healthy) server.listen()
    }

    private fun Faults.with(fault: PlatformFault): Faults =
        when (fault) {
            PlatformFault.Healthy -> Faults(hungBefore = hungBefore)
            PlatformFault.Refuse -> this
            PlatformFault.Unavailable -> copy(unavailable = true)
            is PlatformFault.Slow -> copy(slowMillis = fault.millis)
            is PlatformFault.LoseAnswers -> copy(loss = AnswerLossState(fault.loss))
            is PlatformFault.LagInstances -> copy(instanceLagMillis = fault.millis)
            PlatformFault.Hang -> copy(hang = true)
            PlatformFault.HangOpen -> copy(hungBefore = server.nextConnection)
        }

    /** Stores an object without a condition, as an operator's initial load. */
    @Synchronized
    public fun put(
        kind: String,
        name: String,
        value: JsonElement,
    ): PlatformObject = store.store(ObjectName(kind, name), value).also(::publish)

    /** Returns the object, or null when there is none. */
    @Synchronized
    public fun get(
        kind: String,
        name: String,
    ): PlatformObject? = store.get(ObjectName(kind, name))

    /** Returns the objects of [kind] in the order of their versions. */
    @Synchronized
    public fun list(kind: String): List<PlatformObject> = store.list(setOf(kind))

    /** Adds or replaces an entry of the instance list. */
    @Synchronized
    public fun register(instance: PlatformInstance) {
        registry.register(instance)
    }

    override fun close() {
        ticker.cancel(false)
        server.close()
        control.close()
    }

    private fun handleControl(exchange: HttpExchange) {
        when (exchange.method + " " + exchange.uriPath) {
            "POST /_control" -> {
                val fault = exchange.read<PlatformFault>()
                // Refusing waits for closed channels, which an event loop must not do.
                CompletableFuture.runAsync { inject(fault) }.thenRun { exchange.reply(200, fault) }
            }

            "GET /_control/calls" -> {
                exchange.reply(200, calls)
            }

            else -> {
                exchange.reply(404, ErrorBody("no_path", exchange.uriPath))
            }
        }
    }

    private fun handle(exchange: HttpExchange) {
        if (exchange.path.firstOrNull() == "_control") return handleControl(exchange)
        synchronized(this) {
            if (isHung(exchange.connection)) return
            if (faults.unavailable) return exchange.reply(503, ErrorBody("unavailable"))
            route(exchange)
        }
    }

    private fun isHung(connection: Long) = faults.hang || connection < faults.hungBefore

    private fun route(exchange: HttpExchange) {
        val path = exchange.path
        when {
            path.size == 4 && path[1] == "objects" -> routeObject(exchange, ObjectName(path[2], path[3]))
            exchange.uriPath == "/v1/objects" -> list(exchange)
            exchange.uriPath == "/v1/watch" -> watch(exchange)
            path.size in 2..3 && path[1] == "instances" -> routeInstances(exchange)
            else -> exchange.reply(404, ErrorBody("no_path", exchange.uriPath))
        }
    }

    private fun routeObject(
        exchange: HttpExchange,
        key: ObjectName,
    ) {
        when (exchange.method) {
            "GET" -> get(exchange, key)
            "PUT" -> put(exchange, key)
            "DELETE" -> delete(exchange, key)
            else -> exchange.reply(405, ErrorBody("no_method"))
        }
    }

    private fun get(
        exchange: HttpExchange,
        key: ObjectName,
    ) {
        counted = counted.copy(get = counted.get + 1)
        val found = store.get(key)
        if (found == null) {
            answer(exchange, 404, NotFound("not_found", store.revision))
        } else {
            answer(exchange, 200, found)
        }
    }

    private fun put(
        exchange: HttpExchange,
        key: ObjectName,
    ) {
        counted = counted.copy(put = counted.put + 1)
        val expected = expected(exchange) ?: return exchange.reply(428, ErrorBody("condition_required"))
        if (exchange.body.toByteArray().size > MAX_VALUE_BYTES) return exchange.reply(413, ErrorBody("value_too_large"))
        val value = exchange.read<JsonElement>()
        require(value != JsonNull) { "a value must not be null" }
        answerWrite(exchange, store.put(key, value, expected))
    }

    private fun delete(
        exchange: HttpExchange,
        key: ObjectName,
    ) {
        counted = counted.copy(delete = counted.delete + 1)
        val expected = expected(exchange) ?: return exchange.reply(428, ErrorBody("condition_required"))
        answerWrite(exchange, store.delete(key, expected))
    }

    private fun expected(exchange: HttpExchange): Expected? {
        val version = exchange.header("If-Match")?.trim('"')
        return when {
            exchange.header("If-None-Match") == "*" -> Expected.Absent
            version != null -> Expected.Version(version.toLong())
            else -> null
        }
    }

    private fun answerWrite(
        exchange: HttpExchange,
        result: WriteResult,
    ) {
        when (result) {
            is WriteResult.Conflict -> {
                answer(exchange, 412, result.current)
            }

            is WriteResult.Written -> {
                publish(result.stored)
                if (faults.loss.losesNext()) exchange.drop() else answer(exchange, 200, result.stored)
            }
        }
    }

    private fun list(exchange: HttpExchange) {
        counted = counted.copy(list = counted.list + 1)
        answer(exchange, 200, ObjectList(store.revision, store.list(kinds(exchange))))
    }

    private fun watch(exchange: HttpExchange) {
        counted = counted.copy(watch = counted.watch + 1)
        val from = exchange.query("from")?.toLong() ?: 0
        val watch = WatchStream(kinds(exchange), exchange.connection, exchange.startLines(), exchange.loop)
        store.changes(watch.kinds, from).forEach { watch.send(it.asLine(), faults.slowMillis) }
        watch.send(WatchLine(WatchType.IDLE, store.revision), faults.slowMillis)
        watches += watch
        exchange.onClose { synchronized(this) { watches -= watch } }
    }

    private fun kinds(exchange: HttpExchange): Set<String> {
        val kinds = requireNotNull(exchange.query("kinds")) { "the parameter kinds is missing" }
        return kinds.split(',').toSet()
    }

    private fun routeInstances(exchange: HttpExchange) {
        when (exchange.method) {
            "GET" -> {
                counted = counted.copy(instances = counted.instances + 1)
                answer(exchange, 200, registry.list(faults.instanceLagMillis.milliseconds))
            }

            "PUT" -> {
                counted = counted.copy(register = counted.register + 1)
                val instance = exchange.read<PlatformInstance>()
                require(instance.id == exchange.path.last()) { "the path names another instance" }
                register(instance)
                answer(exchange, 200, instance)
            }

            else -> {
                exchange.reply(405, ErrorBody("no_method"))
            }
        }
    }

    private fun publish(changed: PlatformObject) = sendLine(changed.asLine()) { changed.kind in it.kinds }

    @Synchronized
    private fun sendIdleLines() = sendLine(WatchLine(WatchType.IDLE, store.revision)) { true }

    private fun sendLine(
        line: WatchLine,
        concerns: (WatchStream) -> Boolean,
    ) {
        watches
            .filter { concerns(it) && !isHung(it.connection) }
            .forEach { it.send(line, faults.slowMillis) }
    }

    private inline fun <reified T> answer(
        exchange: HttpExchange,
        status: Int,
        body: T,
    ) {
        exchange.after(faults.slowMillis) { exchange.reply(status, body) }
    }

    public companion object {
        /** Starts a platform on loopback; port 0 takes a free one. */
        public fun start(
            port: Int = 0,
            controlPort: Int = 0,
        ): PlatformFake = PlatformFake(port, controlPort)
    }
}

private fun PlatformObject.asLine() =
    WatchLine(if (isTombstone) WatchType.DELETE else WatchType.PUT, version, changed = this)
