package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange.DrainInstance
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * The instances that planned work is wanted for: those in [pools] and those named in [instances]; `null` for both
 * means the whole fleet.
 */
public data class MaintenanceScope(
    public val pools: Set<PoolName>? = null,
    public val instances: Set<InstanceName>? = null,
) {
    /** Tells whether [instance] is in the scope. */
    public operator fun contains(instance: Instance): Boolean =
        (pools == null && instances == null) ||
            (pools != null && instance.pool in pools) ||
            (instances != null && instance.name in instances)

    public companion object {
        /** Every instance. */
        public val Fleet: MaintenanceScope = MaintenanceScope()
    }
}

/**
 * Options of a wave.
 *
 * @property wave name of the wave that the drains carry
 * @property dueBefore an instance is due if its last planned work ended before this time, or never; not in the future
 * @property maximumDrains largest number of drains to propose
 */
public data class WaveOptions(
    public val wave: String,
    public val dueBefore: Instant,
    public val maximumDrains: Int = Int.MAX_VALUE,
)

/**
 * The drains to propose next.
 *
 * @property drains valid one after the other in the state that they were planned from
 * @property remaining number of due instances that are neither draining nor proposed, failed ones included
 * @property blocked pools with due instances in use of which none is draining or proposed, and the reason
 */
public data class WavePlan(
    public val drains: List<DrainInstance>,
    public val remaining: Int,
    public val blocked: Map<PoolName, BlockReason>,
)

/** Why a pool makes no progress. */
public enum class BlockReason {
    /** The pool's availability budget is 0, so that no instance in use can ever be drained. */
    NoBudget,

    /** Unavailable instances use up the budget. */
    BudgetInUse,

    /** The limit of the wave was reached. */
    WaveLimit,
}

/** Chooses the instances that are drained next. Planners differ in it, so that they can be compared. */
public typealias WavePlanner = (
    state: ConfigurationState,
    scope: MaintenanceScope,
    now: Instant,
    options: WaveOptions,
) -> WavePlan

/**
 * Tells whether planned work on this instance is outstanding at [now].
 *
 * Nothing is due before [WaveOptions.dueBefore] has come: work done earlier would leave the instance due and would be
 * repeated without end. A time further in the future than [MaximumClockSkew] is wrong and does not count.
 */
internal fun Instance.isDue(options: WaveOptions, now: Instant): Boolean {
    if (now < options.dueBefore) return false
    val last = maintainedAt ?: return true
    return last < options.dueBefore || last > now + MaximumClockSkew
}

/** Largest difference between the clocks of two proposers that a maintenance time is trusted with. */
internal val MaximumClockSkew: Duration = 1.minutes
