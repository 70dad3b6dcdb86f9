package dogwoodgrade.ownership

/**
 * A record of the log about the owner of the fleet.
 *
 * @property epoch number that rises with each owner; writes and orders of a lower epoch are rejected
 * @property owner name of the entry instance that is the owner
 * @property incarnation incarnation of the owner's process
 * @property resigned whether the owner has stopped giving orders, so that any instance may take over
 * @property capacity processor cores of the owner, or 0 if they are not known
 * @property successor name of the instance for which the owner resigned, or `null` if it resigned for no one
 */
public data class OwnershipRecord(
    public val epoch: Long,
    public val owner: String,
    public val incarnation: String,
    public val resigned: Boolean,
    public val capacity: Double = 0.0,
    public val successor: String? = null,
)
