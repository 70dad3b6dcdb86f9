package dogwoodgrade.configuration

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A proposed change of the configuration. It takes effect only if it is valid in the state at its offset.
 *
 * A change that replaces an item states the version that it is based on, and is refused if the item has another
 * version.
 */
public sealed interface ConfigurationChange {
    /** Creates or replaces a team. */
    public data class SetTeam(
        public val name: TeamName,
        public val share: Int,
        public val upperLimit: Int,
        public val refuseWhenStaleAfter: Duration?,
        public val baseVersion: Version,
    ) : ConfigurationChange

    /** Gives a key to a team; a team may have several. */
    public data class GiveKey(
        public val team: TeamName,
        public val digest: KeyDigest,
    ) : ConfigurationChange

    /** Withdraws a key of a team. */
    public data class WithdrawKey(
        public val team: TeamName,
        public val digest: KeyDigest,
    ) : ConfigurationChange

    /** Creates or replaces a pool. */
    public data class SetPool(
        public val name: PoolName,
        public val service: ServiceName,
        public val slotsPerEndpoint: Int,
        public val connectionsPerEndpoint: Int,
        public val taskLease: Duration,
        public val availabilityBudget: Int,
        public val urgentReserve: Int,
        public val open: Boolean,
        public val baseVersion: Version,
    ) : ConfigurationChange

    /** Adds a new instance to a pool. */
    public data class AddInstance(
        public val name: InstanceName,
        public val address: String,
        public val zone: AvailabilityZone,
        public val rack: RackName,
        public val worker: WorkerName,
        public val pool: PoolName,
    ) : ConfigurationChange

    /** Moves an instance to another pool. Of two concurrent moves, only the first finds the instance in [from]. */
    public data class MoveInstance(
        public val instance: InstanceName,
        public val from: PoolName,
        public val to: PoolName,
    ) : ConfigurationChange

    /** Takes an instance out of use for planned work, within the availability budget. */
    public data class DrainInstance(
        public val instance: InstanceName,
        public val wave: String,
    ) : ConfigurationChange

    /** Returns a drained instance to use. */
    public data class ReturnInstance(
        public val instance: InstanceName,
        public val wave: String,
        public val maintainedAt: Instant?,
    ) : ConfigurationChange

    /** Removes an instance that is draining or failed. */
    public data class RemoveInstance(
        public val instance: InstanceName,
    ) : ConfigurationChange

    /** Records an observed failure; failed instances count against availability budgets. */
    public data class ObserveFailure(
        public val instance: InstanceName,
    ) : ConfigurationChange

    /** Records that an instance has recovered from an observed failure. */
    public data class ObserveRecovery(
        public val instance: InstanceName,
    ) : ConfigurationChange

    /** Takes an availability zone out of service or back into service. */
    public data class SetZone(
        public val zone: AvailabilityZone,
        public val inService: Boolean,
        public val baseVersion: Version,
    ) : ConfigurationChange

    /** Creates or replaces the content of a document for one schema version. */
    public data class SetDocument(
        public val name: DocumentName,
        public val schemaVersion: Int,
        public val content: String,
        public val baseVersion: Version,
    ) : ConfigurationChange
}
