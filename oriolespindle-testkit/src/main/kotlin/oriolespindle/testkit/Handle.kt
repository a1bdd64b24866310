package oriolespindle.testkit

/** A running fake; [close] closes its listener and every open connection. */
public interface Handle : AutoCloseable {
    /** The bound address as `HOST:PORT`. */
    public val address: String

    override fun close()
}
