package dogwoodgrade.membership

/**
 * Request or answer of one exchange. A request carries the [digest] of what its sender holds and, as the first
 * element of [members], the sender's own state. An answer carries what the digest lacks, and the heartbeat of the
 * requester that the answering entry holds ([acknowledged]). [contact] is the sender's own at the time of the message.
 */
public data class GossipMessage(
    public val digest: Map<MemberKey, Long>,
    public val acknowledged: Long,
    public val members: List<MemberDelta>,
    public val contact: LogContact,
)

/**
 * Bounds of messages, in bytes.
 *
 * A message stops growing when its estimated size passes [messageBytes]; a member names no further cells when its
 * complete state passes [stateBytes]. Together they keep every message below 128 KiB. [cellBytesPerSecond] is divided
 * among the members, so that the bytes per second of an entry do not grow with the number of teams and pools; the
 * cells that moved most are published first. Members are sent in full again, in rotation, at [refreshBytesPerSecond].
 */
public data class GossipSettings(
    public val messageBytes: Int = 48 * 1024,
    public val stateBytes: Int = 48 * 1024,
    public val cellBytesPerSecond: Int = 768,
    public val refreshBytesPerSecond: Int = 64,
)
