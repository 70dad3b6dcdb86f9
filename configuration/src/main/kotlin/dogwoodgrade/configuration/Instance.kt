package dogwoodgrade.configuration

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.WorkerName
import kotlin.time.Instant

/**
 * A machine that belongs to exactly one pool and runs one endpoint.
 *
 * @property address host and port of the endpoint, as `host:port`
 * @property wave the maintenance wave or rollout for which the instance is draining, or `null` if it is not
 * @property failed whether entries have observed an unplanned failure from which the instance has not recovered
 * @property maintainedAt end of the last planned work on the instance, by the clock of the proposer
 */
public data class Instance(
    public val name: InstanceName,
    public val address: String,
    public val zone: AvailabilityZone,
    public val rack: RackName,
    public val worker: WorkerName,
    public val pool: PoolName,
    public val wave: String? = null,
    public val failed: Boolean = false,
    public val maintainedAt: Instant? = null,
) {
    /** Whether planned work has taken the instance out of use. */
    public val draining: Boolean get() = wave != null
}
