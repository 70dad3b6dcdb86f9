package dogwoodgrade.configuration

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.Version

/**
 * Service state of an availability zone, set by operators. A zone that was never set is in service at version 0.
 */
public data class Zone(
    public val name: AvailabilityZone,
    public val inService: Boolean,
    public val version: Version,
)
