package dogwoodgrade.configuration

import dogwoodgrade.model.PoolName
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.Version
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * A pool of instances that serve one service.
 *
 * @property slotsPerEndpoint tasks that one endpoint runs at the same time
 * @property connectionsPerEndpoint connections that one endpoint takes from all entries together
 * @property taskLease longest run time of a task; the platform's worker stops a task when its lease has expired
 * @property availabilityBudget largest number of unavailable instances, failed ones included, up to which planned work
 * may take further instances out of use
 * @property urgentReserve number of slots of the pool that normal requests never use
 * @property open whether the pool accepts requests without a key
 * @property version number of accepted changes of this pool
 */
public data class Pool(
    public val name: PoolName,
    public val service: ServiceName,
    public val slotsPerEndpoint: Int,
    public val connectionsPerEndpoint: Int,
    public val taskLease: Duration,
    public val availabilityBudget: Int,
    public val urgentReserve: Int,
    public val open: Boolean,
    public val version: Version,
) {
    public companion object {
        /** Longest task lease. It is bounded because permits of an ended entry stay quarantined for that time. */
        public val MAX_TASK_LEASE: Duration = 10.minutes

        /** Largest number of slots or connections per endpoint. */
        public const val MAX_SLOTS_OR_CONNECTIONS: Int = 10_000
    }
}
