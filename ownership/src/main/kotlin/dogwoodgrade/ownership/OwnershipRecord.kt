package dogwoodgrade.ownership

/**
 * What the log says about the owner of the fleet.
 *
 * @property epoch rises with each owner; writes and orders of a lower epoch are rejected
 * @property owner name of the entry instance
 * @property incarnation life of the owner's process
 * @property resigned the owner gives no more orders, and anyone may take over
 */
public data class OwnershipRecord(
    public val epoch: Long,
    public val owner: String,
    public val incarnation: String,
    public val resigned: Boolean,
)
