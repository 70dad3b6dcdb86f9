package dogwoodgrade.node

import dogwoodgrade.ownership.ClockReading
import dogwoodgrade.ownership.HandoverRequest
import dogwoodgrade.ownership.Lease
import dogwoodgrade.ownership.OwnershipPolicy
import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.ownership.OwnershipView
import dogwoodgrade.platform.KeyedRecord
import kotlin.time.Instant

/**
 * The owner according to the progress topic, and the lease of this process if it is the owner.
 *
 * Guarded by its own lock (number 4 in the lock order of the node process).
 */
internal class OwnershipTable(
    private val policy: OwnershipPolicy,
) {
    private var record: OwnershipRecord? = null
    private var signAt: Instant = Instant.DISTANT_PAST

    /** Time of the last sign of life in the progress; the summary may be silent while the progress is not. */
    private var progressSignAt: Instant = Instant.DISTANT_PAST
    private var readAt: Instant = Instant.DISTANT_PAST
    private var recordSince: Instant = Instant.DISTANT_PAST
    private var handover: HandoverRequest? = null
    private var nextOffset: Long? = null
    private var summaryReadAt: Instant? = null
    private var summarizedEpoch: Long? = null
    private var lease: Lease? = null

    /** Time from which on an append has to be sent to renew the lease. */
    private var renewableFrom = Instant.DISTANT_PAST

    /** Applies records of the progress topic. Each one is a sign of life of the owner: lower epochs cannot append. */
    @Synchronized
    fun applyRecords(followed: FollowedRecords, now: Instant) {
        if (nextOffset == null) {
            recordSince = now
            progressSignAt = now
        }
        for (entry in followed.records) applyOwner(entry, now)
        recordSign(followed, now)
        if (followed.records.isNotEmpty() && !followed.snapshot) progressSignAt = now
        nextOffset = followed.nextOffset
        if (followed.reachedEnd) readAt = now
    }

    private fun applyOwner(entry: KeyedRecord, now: Instant) {
        if (entry.key != FleetRecords.OWNER_KEY) return
        val owner = entry.value?.let { FleetRecords.decodeOwner(it) } ?: return
        if (owner.epoch < (record?.epoch ?: 0)) return
        if (owner.epoch != record?.epoch || owner.resigned != record?.resigned) recordSince = now
        record = owner
    }

    /** Records a request for a handover. A request for an earlier owner than the last one is ignored. */
    @Synchronized
    fun applyHandover(request: HandoverRequest) {
        if (request.epoch > (handover?.epoch ?: 0)) handover = request
    }

    /** Returns the first request for a handover that was read for the owner of [epoch], or `null`. */
    @Synchronized
    fun handoverOf(epoch: Long): HandoverRequest? = handover?.takeIf { it.epoch == epoch }

    /** Records that the owner's progress is no longer read, so that this process knows too little for a claim. */
    @Synchronized
    fun stopFollowing() {
        nextOffset = null
    }

    /** Applies records of the summary of the progress, each of which is a sign of life of the owner. */
    @Synchronized
    fun applySummary(followed: FollowedRecords, now: Instant) {
        if (summaryReadAt == null) recordSince = now
        if (followed.reachedEnd || summaryReadAt == null) summaryReadAt = now
        for (entry in followed.records) applyOwner(entry, now)
        if (followed.records.any { it.key == FleetRecords.OWNER_KEY }) summarizedEpoch = record?.epoch
        recordSign(followed, now)
    }

    /** A snapshot has records of unknown age, which are a sign of life only if nothing else is known of the owner. */
    private fun recordSign(followed: FollowedRecords, now: Instant) {
        val ageKnown = !followed.snapshot || signAt == Instant.DISTANT_PAST
        if (followed.records.isNotEmpty() && ageKnown) signAt = now
    }

    /**
     * Returns what is known of the owner from the progress or its summary, or `null` if neither has been read. A claim
     * needs [view].
     */
    @Synchronized
    fun summary(): OwnershipView? {
        val summarizedAt = summaryReadAt
        if (summarizedAt == null && nextOffset == null) return null
        return OwnershipView(record, signAt, maxOf(readAt, summarizedAt ?: readAt), recordSince)
    }

    /** Returns what the progress tells of the owner, or `null` if it is not followed. A claim rests on this. */
    @Synchronized
    fun view(): OwnershipView? =
        if (nextOffset == null) null else OwnershipView(record, progressSignAt, readAt, recordSince)

    /** Tells whether the owner of [epoch] has written to the summary. */
    @Synchronized
    fun hasSummaryOf(epoch: Long): Boolean = summarizedEpoch == epoch

    /** Returns the offset up to which the topic has been read. */
    @Synchronized
    fun readTo(): Long = nextOffset ?: 0

    /**
     * Sets the lease of this process to [lease], unless the current one of the same epoch was confirmed later, or the
     * confirmed append was sent before the lease was invalidated.
     */
    @Synchronized
    fun updateLease(lease: Lease) {
        val sentAt = lease.confirmedAt.monotonic
        if (sentAt < renewableFrom) return
        val current = this.lease
        if (current == null ||
            lease.epoch != current.epoch ||
            sentAt > current.confirmedAt.monotonic
        ) {
            this.lease = lease
        }
    }

    /** Removes the lease because this process no longer owns the fleet. */
    @Synchronized
    fun clearLease() {
        lease = null
    }

    /** Invalidates the lease until an append is confirmed that is sent after [now], for example after a suspension. */
    @Synchronized
    fun invalidateLease(now: Instant) {
        renewableFrom = now
        lease = null
    }

    /** Returns the time at which this process has to stop sending orders. */
    @Synchronized
    fun ordersUntil(now: ClockReading): Instant = lease?.ordersUntil(policy, now) ?: Instant.DISTANT_PAST

    /** Returns the latest time at which a grant of this process may end. */
    @Synchronized
    fun grantsUntil(now: ClockReading): Instant = lease?.grantsUntil(policy, now) ?: Instant.DISTANT_PAST

    /** Returns when the newest confirmed append of this process was sent, or `null` if it holds no lease. */
    @Synchronized
    fun confirmedAt(): ClockReading? = lease?.confirmedAt
}
