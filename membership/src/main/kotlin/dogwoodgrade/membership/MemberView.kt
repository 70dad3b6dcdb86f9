package dogwoodgrade.membership

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.InstanceName
import kotlin.time.Duration

/**
 * A member as this entry sees it. [contact] is as of [heartbeat], which last advanced [sinceProgress] ago.
 *
 * [load] leaves out instances without requests, and may be late for others. For a draining instance it is exact as of
 * [heartbeat] if the member's applied offset includes the drain, because the member then watches that instance.
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
)
