package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange.DrainInstance
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.DocumentKey
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.Version
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A rollout over the instances of one pool: each is drained, restarted and returned once.
 *
 * An operator publishes the plan as a document. Which instances are done follows from their `maintainedAt`, so any
 * operator can continue the rollout from the folded state alone.
 *
 * @property name names the rollout; the drains carry it as their wave
 * @property startedAt an instance maintained at this time or later is done
 * @property document the document whose [documentVersion] the instances load when they restart; `null` for a restart
 * @property batchSize largest number of instances in a batch; the availability budget may allow fewer
 * @property failureThreshold the rollout halts when more of the instances that it has touched are failed
 * @property observeFor time between the end of a batch and the next one, for failures to show
 */
public data class RolloutPlan(
    public val name: String,
    public val pool: PoolName,
    public val startedAt: Instant,
    public val document: DocumentKey? = null,
    public val documentVersion: Version = Version.None,
    public val batchSize: Int = Int.MAX_VALUE,
    public val failureThreshold: Int = 0,
    public val observeFor: Duration = Duration.ZERO,
)

/** What to do next in a rollout. */
public sealed interface RolloutStep {
    /** Propose the drains of the next batch. */
    public data class NextBatch(public val drains: List<DrainInstance>) : RolloutStep

    /** The last batch is not over, or no budget is free. */
    public data class Wait(public val reason: WaitReason) : RolloutStep

    /** More touched instances are failed than the threshold permits; no instance is drained until they recover. */
    public data class Halted(public val failed: Set<InstanceName>) : RolloutStep

    /** Another version of the document was published; this rollout must not continue. */
    public data object Superseded : RolloutStep

    /** Every instance is done. */
    public data object Finished : RolloutStep
}

/** Why a rollout waits. */
public enum class WaitReason {
    /** The time in the plan has not come by the clock of this operator. */
    NotStarted,
    BatchUnderWay,
    ObservationTime,
    NoBudget,
    InstanceFailed,
}

/**
 * Returns the next step of [plan].
 *
 * A failed instance that the rollout has not touched is waited for, and is not counted as a failure of a batch. The
 * failures of all batches are added, so a slow rise over several batches halts the rollout too.
 */
public fun planRollout(state: ConfigurationState, plan: RolloutPlan, now: Instant): RolloutStep {
    val members = state.instancesOf(plan.pool)
    val options = WaveOptions(plan.name, plan.startedAt, plan.batchSize)
    val pending = members.filter { it.isDue(options, now) }
    val touched = members.filter { it.wave == plan.name || isDone(it, plan) }
    val failed = touched.filter(Instance::failed)
    val lastReturn = touched.mapNotNull(Instance::maintainedAt).filter { it >= plan.startedAt }.maxOrNull()
    val published = plan.document?.let { state.documents[it]?.version ?: Version.None }
    return when {
        published != null && published != plan.documentVersion -> RolloutStep.Superseded
        failed.size > plan.failureThreshold -> RolloutStep.Halted(failed.mapTo(LinkedHashSet(), Instance::name))
        members.any(Instance::draining) -> RolloutStep.Wait(WaitReason.BatchUnderWay)
        now < plan.startedAt -> RolloutStep.Wait(WaitReason.NotStarted)
        pending.isEmpty() -> RolloutStep.Finished
        lastReturn != null && now - lastReturn < plan.observeFor -> RolloutStep.Wait(WaitReason.ObservationTime)
        pending.all(Instance::failed) -> RolloutStep.Wait(WaitReason.InstanceFailed)
        else -> {
            val drains = planWave(state, MaintenanceScope(pools = setOf(plan.pool)), now, options).drains
            if (drains.isEmpty()) RolloutStep.Wait(WaitReason.NoBudget) else RolloutStep.NextBatch(drains)
        }
    }
}

private fun isDone(instance: Instance, plan: RolloutPlan): Boolean =
    instance.maintainedAt?.let { it >= plan.startedAt } ?: false
