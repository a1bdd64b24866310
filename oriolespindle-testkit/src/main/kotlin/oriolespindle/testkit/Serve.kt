package oriolespindle.testkit

import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** Set by the process fleet: the process ends when its standard input does, so that it never outlives its parent. */
internal const val STOP_WITH_INPUT_PROPERTY: String = "oriolespindle.testkit.stopWithInput"

/** Prints that [fake] is ready and keeps the process up until it receives SIGTERM. */
internal fun serveUntilStopped(
    fake: Handle,
    name: String,
    details: String = "",
) {
    Runtime.getRuntime().addShutdownHook(Thread { fake.close() })
    if (java.lang.Boolean.getBoolean(STOP_WITH_INPUT_PROPERTY)) stopWithInput()
    println("$name ready at ${fake.address} $details".trim())
    System.out.flush()
    CountDownLatch(1).await()
}

private fun stopWithInput() {
    thread(isDaemon = true, name = "parent-watch") {
        while (System.`in`.read() >= 0) {
            // Input has no meaning; only its end matters.
        }
        Runtime.getRuntime().halt(0)
    }
}
