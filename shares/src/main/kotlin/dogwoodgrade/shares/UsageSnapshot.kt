package dogwoodgrade.shares

import dogwoodgrade.model.PoolName

/** Recent use of a pool by one owner at one entry. */
public data class UsageRow(
    public val pool: PoolName,
    public val owner: QueueOwner,
    /** Exponentially decayed slot time, in slot-seconds. */
    public val usage: Double,
    /** Slots in use, averaged over about a second. */
    public val slots: Double,
    /** Slots of the urgent reserve in use. */
    public val reserve: Int,
    /** Waiting requests that lack a slot; requests that lack a permit are not counted. */
    public val waiting: Int,
    /** Slot time since the entry started, without decay, in milliseconds; never decreases. 0 in reports of peers. */
    public val slotTime: Long = 0,
)

/**
 * The use of all pools at one entry, for gossip. Pools and owners without a row have no use.
 *
 * Of two snapshots of the same entry, the one with the larger [sequence] is newer. The message contains the age instead
 * of a time, because the clocks of entries differ.
 */
public data class UsageSnapshot(
    public val sequence: Long,
    public val rows: List<UsageRow>,
)
