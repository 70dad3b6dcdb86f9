package dogwoodgrade.configuration

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.Version

/**
 * Whether operators have an availability zone in service. A zone without such a record is in service at version 0.
 */
public data class Zone(
    public val name: AvailabilityZone,
    public val inService: Boolean,
    public val version: Version,
)
