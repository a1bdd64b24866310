package oriolespindle.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import oriolespindle.core.config.Revision

/**
 * The payload of a heartbeat and of its acknowledgement.
 *
 * [sequence] matches an acknowledgement to its heartbeat. [revision] and [contentHash] describe the configuration in
 * force at the sender. [wantAll] requests every record; a starting instance sets it until it receives the first
 * acknowledgement.
 */
@Serializable
public data class Gossip(
    @SerialName("f")
    public val sender: MemberRecord,
    @SerialName("q")
    public val sequence: Long,
    @SerialName("r")
    public val revision: Revision = Revision.NONE,
    @SerialName("h")
    public val contentHash: Long = 0,
    @SerialName("m")
    public val records: List<MemberRecord> = emptyList(),
    @SerialName("w")
    public val wantAll: Boolean = false,
)
