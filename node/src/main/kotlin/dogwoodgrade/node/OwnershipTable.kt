package dogwoodgrade.node

import dogwoodgrade.ownership.Lease
import dogwoodgrade.ownership.OwnershipPolicy
import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.ownership.OwnershipView
import dogwoodgrade.platform.KeyedRecord
import kotlin.time.Instant

/**
 * What the progress topic says about the owner, and the lease of this process if it is the owner.
 *
 * Guarded by its own lock (number 4 in the lock order).
 */
internal class OwnershipTable(
    private val policy: OwnershipPolicy,
) {
    private var record: OwnershipRecord? = null
    private var signAt: Instant = Instant.DISTANT_PAST
    private var readAt: Instant = Instant.DISTANT_PAST
    private var nextOffset: Long? = null
    private var lease: Lease? = null

    /** Applies what was read; each record of the topic is a sign of its owner, since lower epochs cannot append. */
    @Synchronized
    fun read(followed: FollowedRecords, now: Instant) {
        for (entry in followed.records) applyOwner(entry)
        if (followed.records.isNotEmpty()) signAt = now
        nextOffset = followed.nextOffset
        if (followed.reachedEnd) readAt = now
    }

    private fun applyOwner(entry: KeyedRecord) {
        if (entry.key != FleetRecords.OWNER_KEY) return
        val owner = entry.value?.let { FleetRecords.decodeOwner(it) } ?: return
        if (owner.epoch >= (record?.epoch ?: 0)) record = owner
    }

    /** What is known, or `null` before the topic was read. */
    @Synchronized
    fun view(): OwnershipView? = if (nextOffset == null) null else OwnershipView(record, signAt, readAt)

    /** Offset up to which the topic was read. */
    @Synchronized
    fun readTo(): Long = nextOffset ?: 0

    /** This process owns the fleet since [lease]. */
    @Synchronized
    fun own(lease: Lease) {
        val current = this.lease
        if (current == null ||
            lease.epoch != current.epoch ||
            lease.confirmedAt > current.confirmedAt
        ) {
            this.lease = lease
        }
    }

    /** This process no longer owns the fleet. */
    @Synchronized
    fun disown() {
        lease = null
    }

    /** A suspension makes the lease worthless until the next confirmed write. */
    @Synchronized
    fun suspended() {
        lease = lease?.copy(confirmedAt = Instant.DISTANT_PAST)
    }

    /** When this process has to stop giving orders. */
    @Synchronized
    fun ordersUntil(): Instant = confirmedLease()?.ordersUntil(policy) ?: Instant.DISTANT_PAST

    /** End of the longest grant that this process may give. */
    @Synchronized
    fun grantsUntil(): Instant = confirmedLease()?.grantsUntil(policy) ?: Instant.DISTANT_PAST

    private fun confirmedLease(): Lease? = lease?.takeIf { it.confirmedAt != Instant.DISTANT_PAST }
}
