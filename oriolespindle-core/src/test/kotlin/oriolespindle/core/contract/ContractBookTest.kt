package oriolespindle.core.contract

import org.junit.jupiter.api.Test
import oriolespindle.core.id.TeamId
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class ContractBookTest {
    private val a = TeamId("a")
    private val b = TeamId("b")
    private val book = ContractBook()

    private fun ContractBook.put(
        version: Long,
        contract: Contract,
    ) = put(contract.team, version, ContractCodec.encode(contract))

    @Test
    fun `an unreadable object keeps the last good contract - guards against a typing error that locks a team out`() {
        book.put(1, sampleContract("a"))
        book.put(a, 2, "{")
        book.put(a, 3, ContractCodec.encode(sampleContract("b")))

        expectThat(book.contract(a)).isEqualTo(sampleContract("a"))
        expectThat(book.contract(KeyDigest.of("key of a"))).isEqualTo(sampleContract("a"))
        expectThat(book.faults().map { it.team to it.version }).isEqualTo(listOf(a to 3L))
        expectThat(
            book
                .faults()
                .single()
                .violations
                .map { it.field },
        ).isEqualTo(listOf("team"))

        book.put(4, sampleContract("a").copy(concurrency = 1))

        expectThat(book.contract(a)?.concurrency).isEqualTo(1)
        expectThat(book.faults()).isEmpty()
    }

    @Test
    fun `an older version changes nothing - guards against a contract that reverts when updates cross`() {
        book.put(5, sampleContract("a"))
        book.put(4, sampleContract("a").copy(concurrency = 1))
        book.remove(a, 4)
        expectThat(book.contract(a)?.concurrency).isEqualTo(10)

        book.remove(a, 6)
        book.put(5, sampleContract("a"))
        expectThat(book.contract(a)).isNull()
        expectThat(book.contract(KeyDigest.of("key of a"))).isNull()
    }

    @Test
    fun `the later claim of a key is a violation - guards against a team that uses another team's contract`() {
        book.put(1, sampleContract("a", "shared"))
        book.put(2, sampleContract("b", "own"))
        book.put(3, sampleContract("b", "own", "shared"))

        expectThat(book.contract(KeyDigest.of("shared"))?.team).isEqualTo(a)
        expectThat(book.contract(KeyDigest.of("own"))?.team).isEqualTo(b)
        expectThat(
            book
                .faults()
                .single()
                .violations
                .single()
                .rule,
        ).isEqualTo("already belongs to team a")

        book.put(4, sampleContract("a", "other"))

        expectThat(book.contract(KeyDigest.of("shared"))?.team).isEqualTo(b)
        expectThat(book.faults()).isEmpty()
    }

    @Test
    fun `the order of arrival does not decide who owns a key - guards against instances that disagree`() {
        val reversed = ContractBook()
        val objects = listOf(1L to sampleContract("a", "x"), 2L to sampleContract("b", "x"), 3L to sampleContract("c"))
        objects.forEach { (version, contract) -> book.put(version, contract) }
        objects.reversed().forEach { (version, contract) -> reversed.put(version, contract) }

        expectThat(reversed.contract(KeyDigest.of("x"))).isEqualTo(book.contract(KeyDigest.of("x")))
        expectThat(reversed.faults()).isEqualTo(book.faults())
        expectThat(reversed.contract(b)).isNull()
    }
}
