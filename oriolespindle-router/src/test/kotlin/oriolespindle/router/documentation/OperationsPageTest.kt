package oriolespindle.router.documentation

import org.junit.jupiter.api.Test
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.outcome.UnknownReason
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isNotBlank

/** Guards against codes without a row in docs/OPERATIONS.md, and against rows without a code. */
class OperationsPageTest {
    private val page = DocumentationPage("OPERATIONS.md")

    @Test
    fun `every refusal reason has one complete row`() {
        expectRows("Refusals", RefusalReason.entries.map { it.code })
    }

    @Test
    fun `every unknown reason has one complete row`() {
        expectRows("Unknown outcomes", UnknownReason.entries.map { it.code })
    }

    @Test
    fun `every retry reason has one complete row`() {
        expectRows("Retries", RetryReason.entries.map { it.code })
    }

    private fun expectRows(
        section: String,
        codes: List<String>,
    ) {
        val rows = page.rows(section)
        expectThat(rows.map { it[0].trim('`') }).containsExactly(codes)
        expectThat(rows).all {
            hasSize(COLUMNS)
            all { isNotBlank() }
        }
    }

    private companion object {
        /** Code, symptom, cause and remedy. */
        const val COLUMNS = 4
    }
}
