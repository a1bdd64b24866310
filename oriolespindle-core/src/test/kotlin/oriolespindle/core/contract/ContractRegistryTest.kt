package oriolespindle.core.contract

import org.junit.jupiter.api.Test
import oriolespindle.core.id.TeamId
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class ContractRegistryTest {
    private val a = TeamId("a")
    private val b = TeamId("b")
    private val registry = ContractRegistry()

    private fun ContractRegistry.put(
        version: Long,
        contract: Contract,
    ) = put(contract.team, version, ContractCodec.encode(contract))

    @Test
    fun `an invalid object keeps the last valid contract - guards against a typing error that locks a team out`() {
        registry.put(1, sampleContract("a"))
        registry.put(a, 2, "{")
        registry.put(a, 3, ContractCodec.encode(sampleContract("b")))

        expectThat(registry.contract(a)).isEqualTo(sampleContract("a"))
        expectThat(registry.contract(KeyDigest.of("key of a"))).isEqualTo(sampleContract("a"))
        expectThat(registry.faults().map { it.team to it.version }).isEqualTo(listOf(a to 3L))
        expectThat(
            registry
                .faults()
                .single()
                .violations
                .map { it.field },
        ).isEqualTo(listOf("team"))

        registry.put(4, sampleContract("a").copy(concurrency = 1))

        expectThat(registry.contract(a)?.concurrency).isEqualTo(1)
        expectThat(registry.faults()).isEmpty()
    }

    @Test
    fun `an older version is ignored - guards against a contract that reverts when updates arrive out of order`() {
        registry.put(5, sampleContract("a"))
        registry.put(4, sampleContract("a").copy(concurrency = 1))
        registry.remove(a, 4)
        expectThat(registry.contract(a)?.concurrency).isEqualTo(10)

        registry.remove(a, 6)
        registry.put(5, sampleContract("a"))
        expectThat(registry.contract(a)).isNull()
        expectThat(registry.contract(KeyDigest.of("key of a"))).isNull()
    }

    @Test
    fun `the later claim of a key is a violation - guards against a team that uses another team's contract`() {
        registry.put(1, sampleContract("a", "shared"))
        registry.put(2, sampleContract("b", "own"))
        registry.put(3, sampleContract("b", "own", "shared"))

        expectThat(registry.contract(KeyDigest.of("shared"))?.team).isEqualTo(a)
        expectThat(registry.contract(KeyDigest.of("own"))?.team).isEqualTo(b)
        expectThat(
            registry
                .faults()
                .single()
                .violations
                .single()
                .rule,
        ).isEqualTo("already belongs to team a")

        registry.put(4, sampleContract("a", "other"))

        expectThat(registry.contract(KeyDigest.of("shared"))?.team).isEqualTo(b)
        expectThat(registry.faults()).isEmpty()
    }

    @Test
    fun `the owner of a key does not depend on the order of arrival - guards against instances that disagree`() {
        val reversed = ContractRegistry()
        val objects = listOf(1L to sampleContract("a", "x"), 2L to sampleContract("b", "x"), 3L to sampleContract("c"))
        objects.forEach { (version, contract) -> registry.put(version, contract) }
        objects.reversed().forEach { (version, contract) -> reversed.put(version, contract) }

        expectThat(reversed.contract(KeyDigest.of("x"))).isEqualTo(registry.contract(KeyDigest.of("x")))
        expectThat(reversed.faults()).isEqualTo(registry.faults())
        expectThat(reversed.contract(b)).isNull()
    }
}
