package oriolespindle.testkit

import java.util.concurrent.CountDownLatch

/** Prints that [fake] is ready and keeps the process up until it receives SIGTERM. */
internal fun serveUntilStopped(
    fake: Handle,
    name: String,
    details: String = "",
) {
    Runtime.getRuntime().addShutdownHook(Thread { fake.close() })
    println("$name ready at ${fake.address} $details".trim())
    System.out.flush()
    CountDownLatch(1).await()
}
