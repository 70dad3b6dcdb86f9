package dogwoodgrade.membership

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.InstanceName
import kotlin.time.Duration

/**
 * A member as this entry sees it. [contact] is as of [heartbeat], which last advanced [sinceProgress] ago. Instances
 * without requests are not in [load]; without [loadComplete], others may be missing as well.
 */
public data class MemberView(
    public val identity: EntryIdentity,
    public val zone: AvailabilityZone,
    public val address: PeerAddress,
    public val heartbeat: Long,
    public val contact: LogContact,
    public val liveness: Liveness,
    public val sinceProgress: Duration,
    public val load: Map<InstanceName, Int>,
    public val loadComplete: Boolean,
)
