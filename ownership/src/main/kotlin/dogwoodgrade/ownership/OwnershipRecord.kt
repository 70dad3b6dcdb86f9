package dogwoodgrade.ownership

/**
 * A record of the log about the owner of the fleet.
 *
 * @property epoch number that rises with each owner; writes and orders of a lower epoch are rejected
 * @property owner name of the entry instance that is the owner
 * @property incarnation incarnation of the owner's process
 * @property resigned whether the owner has stopped giving orders, so that any instance may take over
 */
public data class OwnershipRecord(
    public val epoch: Long,
    public val owner: String,
    public val incarnation: String,
    public val resigned: Boolean,
)
