package oriolespindle.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import oriolespindle.core.config.Revision

/**
 * The content of a heartbeat and of its answer.
 *
 * [sequence] ties an answer to its heartbeat. [revision] and [contentHash] describe the configuration in force at the
 * sender. [wantAll] asks for every record, which a starting instance does until it is answered once.
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
