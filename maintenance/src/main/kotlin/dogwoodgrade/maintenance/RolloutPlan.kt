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
 * Rollout over the instances of one pool: each is drained, restarted and returned once.
 *
 * An operator publishes the plan as a document. Which instances are done follows from their `maintainedAt`, so any
 * operator can continue the rollout from the folded state alone.
 *
 * @property name name of the rollout; it is recorded as the wave of the drains
 * @property startedAt an instance maintained at this time or later is done
 * @property document the document whose [documentVersion] the instances load when they restart; `null` for a restart
 * @property batchSize largest number of instances in a batch; the availability budget may allow fewer
 * @property failureThreshold largest number of failed instances, among those that were drained for the rollout, with
 * which it continues
 * @property observationTime time from the end of a batch to the next one, in which failures can show
 */
public data class RolloutPlan(
    public val name: String,
    public val pool: PoolName,
    public val startedAt: Instant,
    public val document: DocumentKey? = null,
    public val documentVersion: Version = Version.None,
    public val batchSize: Int = Int.MAX_VALUE,
    public val failureThreshold: Int = 0,
    public val observationTime: Duration = Duration.ZERO,
)

/** Next step of a rollout. */
public sealed interface RolloutStep {
    /** Propose the drains of the next batch. */
    public data class NextBatch(public val drains: List<DrainInstance>) : RolloutStep

    /** Drain nothing for now, for example because the last batch has not ended or no budget is free. */
    public data class Wait(public val reason: WaitReason) : RolloutStep

    /** More instances of the rollout are failed than the threshold permits; nothing is drained until they recover. */
    public data class Halted(public val failed: Set<InstanceName>) : RolloutStep

    /** Another version of the document was published, so that this rollout must not continue. */
    public data object Superseded : RolloutStep

    /** Every instance of the pool is done. */
    public data object Finished : RolloutStep
}

/** Why a rollout waits. */
public enum class WaitReason {
    /** The start time of the plan is in the future by the clock of this operator. */
    NotStarted,
    BatchUnderWay,
    ObservationTime,
    NoBudget,
    InstanceFailed,
}

/**
 * Returns the next step of [plan].
 *
 * The rollout waits for a failed instance that it has not drained, and does not count it as a failure of a batch. The
 * failures of all batches are added up, so that a slow rise over several batches also halts the rollout.
 */
public fun planRollout(state: ConfigurationState, plan: RolloutPlan, now: Instant): RolloutStep {
    val members = state.instancesOf(plan.pool)
    val options = WaveOptions(plan.name, plan.startedAt, plan.batchSize)
    val pending = members.filter { it.isDue(options, now) }
    val affected = members.filter { it.wave == plan.name || isDone(it, plan) }
    val failed = affected.filter(Instance::failed)
    val lastReturn = affected.mapNotNull(Instance::maintainedAt).filter { it >= plan.startedAt }.maxOrNull()
    val published = plan.document?.let { state.documents[it]?.version ?: Version.None }
    return when {
        published != null && published != plan.documentVersion -> RolloutStep.Superseded
        failed.size > plan.failureThreshold -> RolloutStep.Halted(failed.mapTo(LinkedHashSet(), Instance::name))
        members.any(Instance::draining) -> RolloutStep.Wait(WaitReason.BatchUnderWay)
        now < plan.startedAt -> RolloutStep.Wait(WaitReason.NotStarted)
        pending.isEmpty() -> RolloutStep.Finished
        lastReturn != null && now - lastReturn < plan.observationTime -> RolloutStep.Wait(WaitReason.ObservationTime)
        pending.all(Instance::failed) -> RolloutStep.Wait(WaitReason.InstanceFailed)
        else -> {
            val drains = planWave(state, MaintenanceScope(pools = setOf(plan.pool)), now, options).drains
            if (drains.isEmpty()) RolloutStep.Wait(WaitReason.NoBudget) else RolloutStep.NextBatch(drains)
        }
    }
}

private fun isDone(instance: Instance, plan: RolloutPlan): Boolean =
    instance.maintainedAt?.let { it >= plan.startedAt } ?: false
