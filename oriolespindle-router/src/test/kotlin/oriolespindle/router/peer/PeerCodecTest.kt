package oriolespindle.router.peer

import com.sun.management.ThreadMXBean
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.junit.jupiter.api.Test
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.crash.CrashEvidence
import oriolespindle.core.crash.CrashId
import oriolespindle.core.crash.Fingerprint
import oriolespindle.core.crash.Suspect
import oriolespindle.core.fairness.DemandReport
import oriolespindle.core.fairness.TeamDemand
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.limit.KeyCount
import oriolespindle.core.limit.LimitKey
import oriolespindle.core.limit.LimitKind
import oriolespindle.core.limit.ShareMessage
import oriolespindle.core.membership.Gossip
import oriolespindle.core.membership.MemberRecord
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.lang.management.ManagementFactory
import java.nio.ByteBuffer

/** Guards against bytes from a peer, or from anyone who reaches the port, that crash an instance. */
class PeerCodecTest {
    private val member = MemberRecord(InstanceId("router-1"), ZoneId("zone-a"), "10.0.0.1:7400", 3)
    private val identity = PeerIdentity(InstanceId("router-1"), 3, ZoneId("zone-a"), "10.0.0.1:7400")
    private val stored = StoredObject(ObjectKey(ObjectKind.CONTRACT, "team-a"), Revision(7), """{"weight":2}""")

    private val evidence =
        CrashEvidence(
            ids = setOf(CrashId(InstanceId("router-1"), 4)),
            endpoint = EndpointId("e1"),
            suspects = listOf(Suspect(Fingerprint("f1"), cleared = false)),
        )

    private val samples =
        listOf(
            PeerMessage.Hello(identity, HandshakeBytes(ByteArray(16) { it.toByte() })),
            PeerMessage.Ping(Gossip(member, 9, Revision(8), -5, listOf(member), wantAll = true)),
            PeerMessage.Ack(Gossip(member, 9)),
            PeerMessage.Objects(listOf(stored, StoredObject.tombstone(stored.key, Revision(8)))),
            PeerMessage.Share(ShareMessage.Counters(listOf(KeyCount(LimitKey(TeamId("a"), LimitKind.REQUESTS), 10)))),
            PeerMessage.Share(ShareMessage.Probe(7)),
            PeerMessage.Evidence(listOf(evidence)),
            PeerMessage.Demand(DemandReport(3, listOf(TeamDemand(TeamId("a"), 12.5)))),
        )

    private fun frame(message: PeerMessage): ByteArray {
        val result = PeerCodec.encode(message)
        return (result as EncodeResult.Frame).bytes
    }

    @Test
    fun `a message is unchanged by encoding and decoding`() {
        samples.forEach {
            val bytes = frame(it)
            expectThat(PeerCodec.decode(bytes)).isEqualTo(DecodeResult.Decoded(it, bytes.size))
        }
    }

    @Property(tries = 5_000, seed = "20261204")
    fun `arbitrary bytes do not crash the decoder`(
        @ForAll body: ByteArray,
    ) {
        val framed = ByteBuffer.allocate(4 + body.size).putInt(body.size).put(body)

        PeerCodec.decode(body)
        expectThat(PeerCodec.decode(framed.array())).isA<DecodeResult>()
    }

    @Property(tries = 5_000, seed = "20261204")
    fun `a corrupt or truncated message does not crash the decoder`(
        @ForAll("damage") damage: Damage,
    ) {
        val bytes = frame(samples[damage.sample])
        damage.changes.forEach { (at, value) -> bytes[4 + at % (bytes.size - 4)] = value }
        val whole = bytes.size
        val cut = bytes.copyOf(minOf(damage.length, whole))

        val result = PeerCodec.decode(cut)

        if (cut.size in 4 until whole) expectThat(result).isEqualTo(DecodeResult.Incomplete(whole))
    }

    @Property(seed = "20261204")
    fun `an oversized length is rejected without allocating that many bytes`(
        @ForAll length: Int,
    ) {
        val bytes = ByteBuffer.allocate(8).putInt(length).array()
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val before = threads.currentThreadAllocatedBytes

        val result = PeerCodec.decode(bytes)

        expectThat(threads.currentThreadAllocatedBytes - before).isLessThan(PeerCodec.MAX_FRAME_BYTES.toLong() / 4)
        if (length !in 1..PeerCodec.MAX_FRAME_BYTES) {
            expectThat(result).isEqualTo(DecodeResult.Oversized(length.toLong() and 0xffffffffL))
        }
    }

    @Test
    fun `deep nesting and oversized lengths inside a frame are reported as malformed`() {
        val deep = ByteArray(900_000) { 0x81.toByte() }
        val longArray = byteArrayOf(0x9a.toByte(), 0x7f, -1, -1, -1, 0x64)
        val longText = byteArrayOf(0x82.toByte(), 0x7a, 0x7f, -1, -1, -1, 0x64)

        listOf(deep, longArray, longText).forEach { body ->
            val framed =
                ByteBuffer
                    .allocate(4 + body.size)
                    .putInt(body.size)
                    .put(body)
                    .array()
            expectThat(PeerCodec.decode(framed)).isA<DecodeResult.Malformed>()
        }
    }

    @Test
    fun `a list of objects that exceeds one frame is split in order`() {
        val value = "\"" + "x".repeat(999_998) + "\""
        val items = List(3) { StoredObject(ObjectKey(ObjectKind.MODEL, "m$it"), Revision(it + 1L), value) } + stored

        val messages = PeerMessage.Objects.split(items)

        messages.forEach { expectThat(PeerCodec.encode(it)).isA<EncodeResult.Frame>() }
        expectThat(messages.flatMap { it.items }).isEqualTo(items)
        expectThat(PeerCodec.encode(PeerMessage.Objects(items))).isA<EncodeResult.TooLarge>()
    }

    data class Damage(
        val sample: Int,
        val changes: List<Pair<Int, Byte>>,
        val length: Int,
    )

    @Provide
    fun damage(): Arbitrary<Damage> {
        val change =
            Combinators
                .combine(Arbitraries.integers().between(0, 400), Arbitraries.bytes())
                .`as` { at, value -> at to value }
        return Combinators
            .combine(
                Arbitraries.integers().between(0, samples.lastIndex),
                change.list().ofMaxSize(6),
                Arbitraries.integers().between(0, 600),
            ).`as` { sample, changes, length -> Damage(sample, changes, length) }
    }
}
