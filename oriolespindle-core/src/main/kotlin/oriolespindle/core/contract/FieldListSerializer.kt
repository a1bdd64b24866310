package oriolespindle.core.contract

import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.CompositeDecoder
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.json.JsonElement

/** One field of a JSON object as written in the text. */
internal data class JsonField(
    val name: String,
    val value: JsonElement,
)

/** Reads a JSON object as a list of fields; a map would silently drop all but the last field of a repeated name. */
internal object FieldListSerializer : KSerializer<List<JsonField>> {
    private val delegate = MapSerializer(String.serializer(), JsonElement.serializer())

    override val descriptor: SerialDescriptor get() = delegate.descriptor

    override fun serialize(
        encoder: Encoder,
        value: List<JsonField>,
    ): Unit = delegate.serialize(encoder, value.associate { it.name to it.value })

    override fun deserialize(decoder: Decoder): List<JsonField> {
        val composite = decoder.beginStructure(descriptor)
        val fields = mutableListOf<JsonField>()
        while (true) {
            val index = composite.decodeElementIndex(descriptor)
            if (index == CompositeDecoder.DECODE_DONE) break
            val name = composite.decodeStringElement(descriptor, index)
            val valueIndex = composite.decodeElementIndex(descriptor)
            val value = composite.decodeSerializableElement(descriptor, valueIndex, JsonElement.serializer())
            fields += JsonField(name, value)
        }
        composite.endStructure(descriptor)
        return fields
    }
}
