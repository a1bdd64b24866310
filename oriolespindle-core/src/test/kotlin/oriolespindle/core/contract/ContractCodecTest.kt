package oriolespindle.core.contract

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNull
import java.util.SplittableRandom

class ContractCodecTest {
    private fun violations(json: String): List<Violation> =
        (ContractCodec.parse(json) as? ContractResult.Invalid)?.violations.orEmpty()

    @Test
    fun `an encoded contract parses to an equal one - guards against a limit that is lost in the store`() {
        val contract = sampleContract("a").copy(unkeyedCallsAllowed = true, requestsPerSecond = 0.125)

        expectThat(ContractCodec.parse(ContractCodec.encode(contract))).isEqualTo(ContractResult.Valid(contract))
    }

    @Test
    fun `all violations are reported at once - guards against one round trip for each mistake`() {
        val json =
            ContractCodec
                .encode(sampleContract("a"))
                .replace("\"weight\":1.0", "\"weight\":\"1.0\"")
                .replace("\"concurrency\":10", "\"concurency\":10")
                .replace("\"priorities\":[0,1]", "\"priorities\":[0,0,12]")
                .replace("\"defaultDeadlineMs\":2000", "\"defaultDeadlineMs\":20000")

        expectThat(violations(json).map { "${it.field}=${it.value}" }).containsExactlyInAnyOrder(
            "weight=\"1.0\"",
            "concurrency=missing",
            "concurency=10",
            "priorities[1]=0",
            "priorities[2]=12",
            "defaultDeadlineMs=20000",
        )
    }

    @Test
    fun `a repeated field is a violation - guards against the last of two limits winning silently`() {
        val json = ContractCodec.encode(sampleContract("a")).replaceFirst("{", "{\"weight\":5,")

        expectThat(violations(json).single()).isEqualTo(Violation("weight", "1.0", "must be given once"))
    }

    @Test
    fun `the largest request must fit into the token rate - guards against a team whose requests can never start`() {
        val json = ContractCodec.encode(sampleContract("a").copy(tokensPerSecond = 639.0))

        expectThat(violations(json).single().field).isEqualTo("tokensPerSecond")
    }

    @Test
    fun `numbers that are invalid in JSON are violations - guards against an infinite rate`() {
        for (number in listOf("NaN", "1e999", "Infinity", "5f", "null", "-1", "+1", "0x1p3", "[]", "{}")) {
            val json = ContractCodec.encode(sampleContract("a")).replace("PerSecond\":5.0", "PerSecond\":$number")

            expectThat(violations(json).map { it.field }).isEqualTo(listOf("requestsPerSecond"))
        }
    }

    @Test
    fun `damaged text does not throw - guards against one bad object that stops the process`() {
        val good = ContractCodec.encode(sampleContract("a"))
        val random = SplittableRandom(7)
        repeat(20_000) {
            val at = random.nextInt(good.length)
            val damaged = good.substring(0, at) + Char(random.nextInt(32, 127)) + good.substring(at + random.nextInt(2))
            ContractCodec.parse(damaged)
            ContractCodec.parse(good.substring(0, at))
        }

        for (text in listOf("", "[]", "null", "1", "{}", "{\"team\":", "[".repeat(100_000))) {
            expectThat(violations(text)).isNotEmpty()
            expectThat(ContractCodec.parseOrNull(text)).isNull()
        }
    }
}
