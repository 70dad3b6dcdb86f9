package dogwoodgrade.membership

/**
 * Request or answer of one gossip exchange.
 *
 * A request carries the digest of the sender's member table and, as the first element of [members], the sender's own
 * state. An answer carries the states that are missing from the digest or newer than it.
 *
 * @property digest heartbeat up to which the sender knows each member; empty in an answer
 * @property acknowledged latest heartbeat of the requester that the answering entry holds; 0 in a request
 * @property members changes of members' states
 * @property contact the sender's contact with the log at the time of the message
 */
public data class GossipMessage(
    public val digest: Map<MemberKey, Long>,
    public val acknowledged: Long,
    public val members: List<MemberDelta>,
    public val contact: LogContact,
)

/**
 * Size limits of gossip messages, in bytes.
 *
 * @property messageBytes estimated size above which no further member is added to a message; together with
 * [stateBytes] this keeps every message below 128 KiB
 * @property stateBytes estimated size of a member's cell names above which the member adds no further cells
 * @property cellBytesPerSecond budget for changed cells, divided by the number of live members, so that the bytes per
 * second of an entry do not grow with the number of teams and pools; the largest changes are published first
 * @property refreshBytesPerSecond budget for requesting complete states of members again, one after the other
 */
public data class GossipSettings(
    public val messageBytes: Int = 48 * 1024,
    public val stateBytes: Int = 48 * 1024,
    public val cellBytesPerSecond: Int = 768,
    public val refreshBytesPerSecond: Int = 64,
)
