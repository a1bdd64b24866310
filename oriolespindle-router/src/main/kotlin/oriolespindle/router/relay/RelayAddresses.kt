package oriolespindle.router.relay

import oriolespindle.router.http.Address

/** The addresses that a [Relay] listens at, with the ports that the system chose where [RelaySettings] have port 0. */
public data class RelayAddresses(
    public val callers: Address,
    public val readiness: Address,
    public val refusals: Address?,
)
