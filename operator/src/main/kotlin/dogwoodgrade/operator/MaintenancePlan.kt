package dogwoodgrade.operator

import dogwoodgrade.configuration.ConfigurationChange.SetDocument
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.DocumentKey
import dogwoodgrade.configuration.Instance
import dogwoodgrade.maintenance.MaintenanceScope
import dogwoodgrade.maintenance.RolloutPlan
import dogwoodgrade.maintenance.RolloutStep
import dogwoodgrade.maintenance.WaitReason
import dogwoodgrade.maintenance.WaveOptions
import dogwoodgrade.maintenance.planRollout
import dogwoodgrade.maintenance.planWave
import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.Version
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * A wave or rollout, published as a document so that any operator can continue it from the folded state.
 *
 * @property name name of the plan; its drains carry it as their wave
 * @property rollout `true` for a rollout over one pool, in batches with an observation time; `false` for a wave
 * @property pools pools in the scope; empty for the whole fleet
 * @property startedAt start in milliseconds since the Unix epoch; an instance maintained at this time or later is done
 * @property batchSize largest number of instances in a batch
 * @property failureThreshold the plan halts when more of the instances that it has touched are failed
 * @property observeMilliseconds observation time after a batch of a rollout
 * @property document name of the document that a rollout loads, or empty for a restart
 * @property schema schema version of [document]
 * @property documentVersion version of [document] that the instances load
 */
@Serializable
internal data class MaintenancePlan(
    val name: String,
    val rollout: Boolean = false,
    val pools: List<String> = emptyList(),
    val startedAt: Long,
    val batchSize: Int = Int.MAX_VALUE,
    val failureThreshold: Int = 0,
    val observeMilliseconds: Long = 0,
    val document: String = "",
    val schema: Int = 1,
    val documentVersion: Long = 0,
)

/** Returns the key of the document that holds the plan [name]. */
internal fun planKey(name: String): DocumentKey = DocumentKey(DocumentName("maintenance-$name"), 1)

/** Returns the published plan [name], or `null` if there is none that can be read. */
internal fun publishedPlan(state: ConfigurationState, name: String): MaintenancePlan? =
    state.documents[planKey(name)]?.let { document ->
        runCatching { Json.decodeFromString(MaintenancePlan.serializer(), document.content) }.getOrNull()
    }

/** Returns the change that publishes [plan]. If several operators publish the same name, only the first succeeds. */
internal fun publicationOf(plan: MaintenancePlan): SetDocument {
    val key = planKey(plan.name)
    return SetDocument(
        key.name,
        key.schemaVersion,
        Json.encodeToString(MaintenancePlan.serializer(), plan),
        Version.None,
    )
}

/** Returns the next step of [plan]. */
internal fun nextStep(state: ConfigurationState, plan: MaintenancePlan, now: Instant): RolloutStep =
    if (plan.rollout) planRollout(state, rolloutOf(plan), now) else nextWaveStep(state, plan, now)

private fun rolloutOf(plan: MaintenancePlan): RolloutPlan =
    RolloutPlan(
        plan.name,
        PoolName(plan.pools.single()),
        Instant.fromEpochMilliseconds(plan.startedAt),
        plan.document.takeIf { it.isNotEmpty() }?.let { DocumentKey(DocumentName(it), plan.schema) },
        Version(plan.documentVersion),
        plan.batchSize,
        plan.failureThreshold,
        plan.observeMilliseconds.milliseconds,
    )

/** Returns the scope of [plan]: the pools that it names, or the whole fleet. */
internal fun scopeOf(plan: MaintenancePlan): MaintenanceScope =
    MaintenanceScope(
        pools = plan.pools
            .map(::PoolName)
            .toSet()
            .takeIf { it.isNotEmpty() },
    )

private fun nextWaveStep(state: ConfigurationState, plan: MaintenancePlan, now: Instant): RolloutStep {
    val start = Instant.fromEpochMilliseconds(plan.startedAt)
    val scope = scopeOf(plan)
    val touched = state.instances.values.filter { it in scope && (it.wave == plan.name || isDone(it, start)) }
    val failed = touched.filter { it.failed }
    if (failed.size > plan.failureThreshold) return RolloutStep.Halted(failed.mapTo(LinkedHashSet()) { it.name })
    if (now < start) return RolloutStep.Wait(WaitReason.NotStarted)
    val wave = planWave(state, scope, now, WaveOptions(plan.name, start, plan.batchSize))
    return when {
        wave.drains.isNotEmpty() -> RolloutStep.NextBatch(wave.drains)
        touched.any { it.draining } -> RolloutStep.Wait(WaitReason.BatchUnderWay)
        wave.remaining == 0 -> RolloutStep.Finished
        else -> RolloutStep.Wait(WaitReason.NoBudget)
    }
}

private fun isDone(instance: Instance, start: Instant): Boolean = instance.maintainedAt?.let { it >= start } ?: false
