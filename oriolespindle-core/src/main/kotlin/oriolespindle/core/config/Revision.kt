package oriolespindle.core.config

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/**
 * A revision of the platform's store.
 *
 * Revisions increase across the whole store; the version of an object is the revision of its last write. A store gives
 * out the same numbers again in another [era], so every revision of a later era follows those of the earlier ones.
 */
@Serializable(with = RevisionSerializer::class)
public data class Revision(
    public val value: Long,
    public val era: StoreEra = StoreEra.NONE,
) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = compareValuesBy(this, other, { it.era }, { it.value })

    /** Returns the number, after the era and a slash if the store has eras. */
    override fun toString(): String = if (era == StoreEra.NONE) value.toString() else "$era/$value"

    public companion object {
        /** The revision before the first write. */
        public val NONE: Revision = Revision(0)
    }
}

/** Writes a revision as its number, for instances on a platform whose store has no eras. */
internal object RevisionSerializer : KSerializer<Revision> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("Revision", PrimitiveKind.LONG)

    /** @throws SerializationException if [value] has an era, which the number would lose. */
    override fun serialize(
        encoder: Encoder,
        value: Revision,
    ) {
        if (value.era != StoreEra.NONE) throw SerializationException("revision $value has an era")
        encoder.encodeLong(value.value)
    }

    override fun deserialize(decoder: Decoder): Revision = Revision(decoder.decodeLong())
}
