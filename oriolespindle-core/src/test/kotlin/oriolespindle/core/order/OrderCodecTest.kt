package oriolespindle.core.order

import org.junit.jupiter.api.Test
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards against orders that change in storage and against carrying out unreadable orders. */
class OrderCodecTest {
    private val endpoint = EndpointId("e1")

    private fun stored(text: String?) = StoredObject(ObjectKey(ObjectKind.ORDER, "o"), Revision(3), text)

    @Test
    fun `an encoded order is parsed back unchanged`() {
        val model = ModelId("m")
        val load = OrderCommand.Load(model, LayerRange(0, 4), "7", "a", bytes = 9)
        for (command in listOf(load, OrderCommand.Unload(model), OrderCommand.ChangeRole("decode"))) {
            val parsed = OrderCodec.parseOrNull(stored(OrderCodec.encode(endpoint, command)))
            expectThat(parsed).isEqualTo(OperatorOrder("o", Revision(3), endpoint, command))
        }
    }

    @Test
    fun `deleted, malformed and incomplete orders are invalid`() {
        val load = """{"endpoint":"e","action":"load","model":"m","version":"1","first":4,"end":"""
        val texts = listOf(null, "{", "[]", """{"endpoint":"e","action":"role"}""", "${load}4}", """{"action":"x"}""")

        texts.forEach { expectThat(OrderCodec.parse(stored(it))).isA<OrderResult.Invalid>() }
    }
}
