package oriolespindle.router.runtime

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class ComponentTest {
    /** Without a thread the component would take messages until its ring buffer is full, and answer none. */
    @Test
    fun `guards against a process that goes on after an error has ended the thread of a component`() {
        listOf(IllegalStateException("broken"), StackOverflowError("broken")).forEach { failure ->
            val exitCode = CompletableFuture<Int>()
            val component = Component<String>("test", capacity = 4, halt = { exitCode.complete(it) }) { throw failure }
            component.start()
            component.offer("message")

            expectThat(exitCode.get(10, TimeUnit.SECONDS)).describedAs("$failure").isEqualTo(70)
            component.stop()
        }
    }
}
