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
 * @property availabilityBudget number of instances that may be unavailable at the same time for planned work,
 * instances that failed included
 * @property urgentReserve slots of the pool that normal work never takes
 * @property open whether the pool takes work without a key
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
        /** Longest task lease. Permits of an ended entry stay quarantined for as long, so the lease must be bounded. */
        public val MaximumTaskLease: Duration = 10.minutes

        /** Largest number of slots or connections per endpoint. */
        public const val MAX_SLOTS: Int = 10_000
    }
}
