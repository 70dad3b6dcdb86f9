package dogwoodgrade.membership

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.InstanceName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A member as this entry sees it. [contact] is as of [heartbeat], which last advanced [sinceProgress] ago.
 *
 * [load] leaves out instances without requests, and may be late for others. For a draining instance it is exact as of
 * [heartbeat] if the member's applied offset includes the drain, because the member then watches that instance.
 *
 * [uses] is the use of the pools as of [heartbeat], which the member reached at about [takenAt] by the own clock.
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
    public val uses: List<PoolUse>,
    public val takenAt: Instant,
)
