package oriolespindle.router.administration

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.WriteResult
import oriolespindle.core.contract.ContractCodec
import oriolespindle.core.contract.ContractResult
import oriolespindle.core.contract.Violation
import oriolespindle.router.http.HttpAnswer
import oriolespindle.router.http.ServerExchange
import oriolespindle.router.state.StateComponent
import java.net.URLDecoder

/** Serves `/v1/objects/`: lists, reads, writes and deletes stored objects for operators. */
internal class ObjectApi(
    private val state: StateComponent,
) {
    /** Returns the role that [exchange] requires, or null if its object kind is not in [ADMINISTERED]. */
    fun requiredRole(exchange: ServerExchange): Role? {
        val kind = segments(exchange).getOrNull(0)?.let(::ObjectKind) ?: return null
        if (kind !in ADMINISTERED) return null
        return when {
            exchange.method == "GET" -> Role.READ
            kind in OPERATE_KINDS -> Role.OPERATE
            else -> Role.ADMINISTER
        }
    }

    fun handle(exchange: ServerExchange) {
        val segments = segments(exchange)
        val kind = ObjectKind(segments[0])
        val key = segments.getOrNull(1)?.let { ObjectKey(kind, it) }
        when {
            segments.size > 2 -> exchange.respond(AdministrationAnswers.notFound())
            key == null && exchange.method == "GET" -> list(exchange, kind)
            key == null -> exchange.respond(AdministrationAnswers.methodNotAllowed("GET"))
            exchange.method == "GET" -> read(exchange, key)
            exchange.method == "PUT" -> replace(exchange, key)
            exchange.method == "DELETE" -> delete(exchange, key)
            else -> exchange.respond(AdministrationAnswers.methodNotAllowed("GET, PUT, DELETE"))
        }
    }

    private fun segments(exchange: ServerExchange): List<String> =
        exchange.path
            .removePrefix(PREFIX)
            .split('/')
            .filter { it.isNotEmpty() }
            .map { URLDecoder.decode(it, Charsets.UTF_8) }

    private fun list(
        exchange: ServerExchange,
        kind: ObjectKind,
    ) {
        state.read { cache ->
            val body =
                buildJsonObject {
                    put("revision", cache.revision.value)
                    putJsonArray("items") {
                        cache.live(kind).sortedBy { it.key.name }.forEach { add(objectJson(it)) }
                    }
                }
            exchange.respond(AdministrationAnswers.json(STATUS_OK, body))
        }
    }

    private fun read(
        exchange: ServerExchange,
        key: ObjectKey,
    ) {
        state.read { cache ->
            val item = cache.get(key)?.takeUnless { it.deleted }
            exchange.respond(
                if (item ==
                    null
                ) {
                    AdministrationAnswers.notFound()
                } else {
                    AdministrationAnswers.json(STATUS_OK, objectJson(item))
                },
            )
        }
    }

    private fun replace(
        exchange: ServerExchange,
        key: ObjectKey,
    ) {
        val value = parse(exchange.body)
        val precondition = Precondition.of(exchange)
        val violations = value?.let { violations(key, it) }.orEmpty()
        when {
            value == null -> {
                exchange.respond(AdministrationAnswers.error(STATUS_BAD_REQUEST, "the body is not a JSON object"))
            }

            precondition == null -> {
                exchange.respond(AdministrationAnswers.error(STATUS_PRECONDITION_REQUIRED, PRECONDITION_RULE))
            }

            violations.isNotEmpty() -> {
                exchange.respond(AdministrationAnswers.json(STATUS_UNPROCESSABLE, violationsJson(violations)))
            }

            else -> {
                state.write(key, value.toString(), precondition.version) { onWriteResult(exchange, key, it) }
            }
        }
    }

    private fun delete(
        exchange: ServerExchange,
        key: ObjectKey,
    ) {
        val precondition = Precondition.of(exchange)
        if (precondition?.version == null) {
            exchange.respond(AdministrationAnswers.error(STATUS_PRECONDITION_REQUIRED, "a deletion needs If-Match"))
            return
        }
        state.write(key, null, precondition.version) { onWriteResult(exchange, key, it) }
    }

    private fun onWriteResult(
        exchange: ServerExchange,
        key: ObjectKey,
        result: WriteResult,
    ) {
        val answer =
            when (result) {
                is WriteResult.Accepted -> acceptedAnswer(key, result.version)
                is WriteResult.Conflict -> conflictAnswer(result.current)
                is WriteResult.NotWritten -> AdministrationAnswers.error(STATUS_UNAVAILABLE, NOT_WRITTEN)
                is WriteResult.Uncertain -> AdministrationAnswers.error(STATUS_BAD_GATEWAY, UNCERTAIN)
            }
        exchange.respond(answer)
    }

    private fun acceptedAnswer(
        key: ObjectKey,
        version: Revision?,
    ): HttpAnswer =
        AdministrationAnswers.json(
            STATUS_OK,
            buildJsonObject {
                put("kind", key.kind.code)
                put("name", key.name)
                version?.let { put("version", it.value) }
            },
        )

    private fun conflictAnswer(current: StoredObject?): HttpAnswer =
        AdministrationAnswers.json(
            STATUS_PRECONDITION_FAILED,
            buildJsonObject {
                put("error", "the object is at another version")
                if (current != null && !current.deleted) put("current", objectJson(current))
            },
        )

    private fun parse(body: ByteArray): JsonObject? =
        try {
            Json.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true)) as? JsonObject
        } catch (_: SerializationException) {
            null
        } catch (_: CharacterCodingException) {
            null
        }

    private fun violations(
        key: ObjectKey,
        value: JsonObject,
    ): List<Violation> {
        if (key.kind != ObjectKind.CONTRACT) return ObjectRules.violations(key, value)
        return when (val result = ContractCodec.parse(value.toString())) {
            is ContractResult.Invalid -> {
                result.violations
            }

            is ContractResult.Valid -> {
                val team = result.contract.team.value
                if (team == key.name) emptyList() else listOf(Violation("team", team, "must be '${key.name}'"))
            }
        }
    }

    private fun violationsJson(violations: List<Violation>): JsonObject =
        buildJsonObject {
            put("error", "the object breaks ${violations.size} rules")
            putJsonArray("violations") {
                violations.forEach { violation ->
                    addJsonObject {
                        put("field", violation.field)
                        put("value", violation.value)
                        put("rule", violation.rule)
                    }
                }
            }
        }

    private fun objectJson(item: StoredObject): JsonElement =
        buildJsonObject {
            put("kind", item.key.kind.code)
            put("name", item.key.name)
            put("version", item.version.value)
            put("value", Json.parseToJsonElement(checkNotNull(item.value)))
        }

    /** The precondition of a write; a null [version] requires that the object does not exist. */
    private class Precondition(
        val version: Revision?,
    ) {
        companion object {
            fun of(exchange: ServerExchange): Precondition? {
                val match = exchange.header("If-Match")?.trim('"')?.toLongOrNull()
                if (match != null) return Precondition(Revision(match))
                return if (exchange.header("If-None-Match") == "*") Precondition(null) else null
            }
        }
    }

    companion object {
        const val PREFIX = "/v1/objects/"
        private const val STATUS_OK = 200
        private const val STATUS_BAD_REQUEST = 400
        private const val STATUS_PRECONDITION_FAILED = 412
        private const val STATUS_UNPROCESSABLE = 422
        private const val STATUS_PRECONDITION_REQUIRED = 428
        private const val STATUS_BAD_GATEWAY = 502
        private const val STATUS_UNAVAILABLE = 503
        private const val PRECONDITION_RULE = "a write needs If-Match with the replaced version, or If-None-Match: *"
        private const val NOT_WRITTEN = "the platform cannot be reached; nothing was changed"
        private const val UNCERTAIN = "no answer of the platform tells whether the change landed; read the object again"

        /** The kinds that [Role.OPERATE] may change. */
        private val OPERATE_KINDS = setOf(ObjectKind.DRAIN, ObjectKind.ORDER)

        /** The object kinds that operators can read and change. */
        val ADMINISTERED: Set<ObjectKind> =
            OPERATE_KINDS +
                setOf(
                    ObjectKind.CONTRACT,
                    ObjectKind.MODEL,
                    ObjectKind.ENDPOINT,
                    ObjectKind.SERVICE,
                    ObjectKind.OPERATOR,
                )
    }
}
