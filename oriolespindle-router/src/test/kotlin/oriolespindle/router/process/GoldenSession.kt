package oriolespindle.router.process

import oriolespindle.testkit.http.TestReply
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

/**
 * Records the transcript of a session and compares it byte for byte with a file under `src/test/resources/golden`.
 *
 * If the system property `golden.rewrite` is `true`, the file is written instead.
 */
internal class GoldenSession(
    private val name: String,
) {
    private val text = StringBuilder()

    fun record(
        title: String,
        reply: TestReply,
    ) {
        text.append("== $title\n")
        text.append("status ${reply.status}\n")
        reply.headers.toSortedMap().forEach { (header, value) -> text.append("$header: $value\n") }
        text.append("\n")
        reply.lines.forEach { text.append(it).append('\n') }
        if (reply.truncated) text.append("(connection broke)\n")
        text.append("\n")
    }

    fun note(line: String) {
        text.append("-- $line\n\n")
    }

    fun verify() {
        val file = Path.of("src/test/resources/golden/$name.txt")
        if (System.getProperty("golden.rewrite") == "true") {
            Files.createDirectories(file.parent)
            Files.writeString(file, text)
            return
        }
        expectThat(text.toString()).isEqualTo(Files.readString(file))
    }
}
