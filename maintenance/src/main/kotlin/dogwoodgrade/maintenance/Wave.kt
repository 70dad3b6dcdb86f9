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
 * The instances that planned work applies to: those in [pools] and those named in [instances]; `null` for both
 * selects the whole fleet.
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
 * @property wave name of the wave that is recorded with each drain
 * @property dueBefore an instance is due if its last planned work ended before this time, or if it had none; nothing is
 * due while this time is in the future
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
 * @property drains drains that the state they were planned from accepts in this order
 * @property remaining number of due instances that are neither draining nor proposed, failed ones included
 * @property blocked pools with due instances in use of which none is draining or proposed, and the reason
 */
public data class WavePlan(
    public val drains: List<DrainInstance>,
    public val remaining: Int,
    public val blocked: Map<PoolName, BlockReason>,
)

/** Reason why a pool makes no progress. */
public enum class BlockReason {
    /** The pool's availability budget is 0, so that no instance in use can ever be drained. */
    NoBudget,

    /** Unavailable instances use up the budget. */
    BudgetInUse,

    /** The wave has reached [WaveOptions.maximumDrains]. */
    WaveLimit,
}

/** Selects the instances to drain next. A function type, so that planners can be exchanged and compared. */
public typealias WavePlanner = (
    state: ConfigurationState,
    scope: MaintenanceScope,
    now: Instant,
    options: WaveOptions,
) -> WavePlan

/**
 * Tells whether planned work on this instance is due at [now].
 *
 * Nothing is due before [WaveOptions.dueBefore]: work done earlier would leave the instance due and would be repeated
 * without end. A maintenance time that is further in the future than [MAX_PROPOSER_CLOCK_SKEW] is wrong and is ignored.
 */
internal fun Instance.isDue(options: WaveOptions, now: Instant): Boolean {
    if (now < options.dueBefore) return false
    val last = maintainedAt ?: return true
    return last < options.dueBefore || last > now + MAX_PROPOSER_CLOCK_SKEW
}

/** Largest difference between the clocks of two proposers for which a maintenance time is accepted. */
internal val MAX_PROPOSER_CLOCK_SKEW: Duration = 1.minutes
