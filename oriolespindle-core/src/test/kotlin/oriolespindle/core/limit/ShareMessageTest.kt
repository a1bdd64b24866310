package oriolespindle.core.limit

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Test
import oriolespindle.core.id.TeamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@OptIn(ExperimentalSerializationApi::class)
class ShareMessageTest {
    @Test
    fun `messages survive a CBOR round trip - guards against counters that arrive under another limit`() {
        val key = LimitKey(TeamId("a"), LimitKind.TOKENS)
        val messages =
            listOf(
                ShareMessage.Counters(listOf(KeyCount(key, Long.MAX_VALUE), KeyCount(key.copy(team = TeamId("b")), 1))),
                ShareMessage.CountersAck(emptyList()),
                ShareMessage.Want(listOf(ShareWant(key, units = 1, holding = 2, demand = 3))),
                ShareMessage.Probe(sentAt = -5),
                ShareMessage.ProbeAnswer(sentAt = -5, generation = 2, Standing.REMOVED),
                ShareMessage.Settled(generation = 3, listOf(KeyCount(key, -7))),
                ShareMessage.SettledAck(generation = 3),
            )

        for (message in messages) {
            val bytes = Cbor.encodeToByteArray(ShareMessage.serializer(), message)
            expectThat(Cbor.decodeFromByteArray(ShareMessage.serializer(), bytes)).isEqualTo(message)
        }
    }
}
