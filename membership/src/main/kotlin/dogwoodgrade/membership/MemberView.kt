package dogwoodgrade.membership

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.InstanceName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * State of a member as last received by this entry.
 *
 * @property heartbeat latest known heartbeat of the member
 * @property contact the member's contact with the log as of [heartbeat]
 * @property sinceProgress time since [heartbeat] last advanced
 * @property load requests in flight per instance; instances without requests are left out. Changes may be published
 * late, but for a draining instance the number is exact as of [heartbeat] if the member's applied offset includes the
 * drain, because the member then watches that instance.
 * @property uses pool usage as of [heartbeat]
 * @property takenAt estimated time of [heartbeat] by this entry's clock
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
