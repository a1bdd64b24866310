package oriolespindle.testkit.service

import oriolespindle.testkit.AnswerLoss
import oriolespindle.testkit.AnswerLossState
import oriolespindle.testkit.Handle
import oriolespindle.testkit.http.ErrorBody
import oriolespindle.testkit.http.HttpExchange
import oriolespindle.testkit.http.HttpServer

/** A fake plain service that counts every POST as an effect and deliberately does not recognise repeated keys. */
public class ServiceFake private constructor(
    private val endpoint: String,
    port: Int,
) : Handle {
    private data class Faults(
        val loss: AnswerLossState = AnswerLossState(AnswerLoss()),
        val slowMillis: Long = 0,
        val draining: Boolean = false,
    )

    private val byKey = LinkedHashMap<String, Int>()
    private val byRequest = LinkedHashMap<String, Int>()
    private var total = 0
    private var refusalsLeft = 0
    private var faults = Faults()
    private val server = HttpServer(::handle)

    init {
        server.start(port)
    }

    override val address: String get() = server.address

    /** The effects since the start. */
    @get:Synchronized
    public val effects: ServiceEffects get() = ServiceEffects(total, byKey.toMap(), byRequest.toMap())

    /** Adds a fault to the ones in force; [ServiceFault.Healthy] ends them. */
    @Synchronized
    public fun inject(fault: ServiceFault) {
        when (fault) {
            ServiceFault.Healthy -> {
                faults = Faults()
                refusalsLeft = 0
            }

            is ServiceFault.LoseAnswers -> {
                faults = faults.copy(loss = AnswerLossState(fault.loss))
            }

            is ServiceFault.Slow -> {
                faults = faults.copy(slowMillis = fault.millis)
            }

            is ServiceFault.NotRun -> {
                refusalsLeft = fault.next
            }

            ServiceFault.Draining -> {
                faults = faults.copy(draining = true)
            }
        }
    }

    override fun close() {
        server.close()
    }

    private fun handle(exchange: HttpExchange) {
        when (exchange.method + " " + exchange.uriPath) {
            "POST /_control" -> exchange.reply(200, exchange.read<ServiceFault>().also(::inject))
            "GET /_control/effects" -> exchange.reply(200, effects)
            else -> call(exchange)
        }
    }

    @Synchronized
    private fun call(exchange: HttpExchange) {
        if (exchange.path.firstOrNull() == "_control") return exchange.reply(404, ErrorBody("no_path"))
        if (faults.draining) return refuse(exchange, "draining")
        if (refusalsLeft > 0) {
            refusalsLeft--
            return refuse(exchange, "busy")
        }
        val key = exchange.header("Idempotency-Key")
        val effect = if (exchange.method == "POST") count(key, exchange.header("Oriolespindle-Request-Id")) else null
        if (effect != null && faults.loss.losesNext()) return exchange.drop()
        val reply = ServiceReply(endpoint, exchange.method, exchange.uriPath, key, effect, exchange.body)
        exchange.after(faults.slowMillis) { exchange.reply(200, reply) }
    }

    private fun refuse(
        exchange: HttpExchange,
        reason: String,
    ) {
        exchange.reply(503, ServiceRefusal("not_run", reason), mapOf("Oriolespindle-Outcome" to "not-run"))
    }

    private fun count(
        key: String?,
        request: String?,
    ): Int {
        byKey.merge(key.orEmpty(), 1, Int::plus)
        byRequest.merge(request.orEmpty(), 1, Int::plus)
        return ++total
    }

    public companion object {
        /** Starts a service on loopback; port 0 takes a free one. */
        public fun start(
            endpoint: String,
            port: Int = 0,
        ): ServiceFake = ServiceFake(endpoint, port)
    }
}
