package dogwoodgrade.operator

import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.DocumentKey
import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.ResultCode
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.cli.vararg
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.seconds

/** A subcommand that starts a wave or rollout, or continues one that was started before. */
internal abstract class MaintenanceCommand(name: String, description: String, onSelected: (OperatorCommand) -> Unit) :
    OperatorCommand(name, description, onSelected) {
    val planName by argument(ArgType.String, "name", "name; an existing one is continued with its own settings")
    val failureThreshold by option(ArgType.Int, "failure-threshold", description = "halt above this number of failures")
        .default(0)
    val batchSize by option(ArgType.Int, "batch", description = "largest number of instances drained at once")
        .default(Int.MAX_VALUE)
    val rebootSeconds by option(ArgType.Int, "reboot-seconds", description = "time until an idle instance is returned")
        .default(DEFAULT_REBOOT_SECONDS)
    val askBeforeReboot by option(ArgType.Boolean, "ask", description = "wait for Enter before each reboot")
        .default(false)

    /** Returns the plan to publish if none with this name is published yet. */
    abstract fun newPlan(state: ConfigurationState, startedAt: Long): MaintenancePlan

    override suspend fun run(context: OperatorContext): CommandResult {
        (context.session.refresh() as? Failure)?.let { return resultOf(it) }
        if (publishedPlan(context.session.state.configuration, planName) == null) {
            val created = newPlan(context.session.state.configuration, context.now().toEpochMilliseconds())
            val failure = context.session.propose(publicationOf(created)) as? Failure
            // If another operator published a plan of this name first, this command continues that plan.
            if (failure != null && failure.code != ResultCode.VersionConflict) return resultOf(failure)
        } else {
            context.progress("continuing $planName")
        }
        val current = publishedPlan(context.session.state.configuration, planName)
            ?: return CommandResult(ResultCode.InvalidValue, "the maintenance plan $planName cannot be read")
        return MaintenanceRun(context, current, rebootSeconds.seconds, ::confirmReboot).run()
    }

    private suspend fun confirmReboot(instances: Set<InstanceName>): Boolean {
        if (!askBeforeReboot) return true
        System.err.println("operator: ${instances.joinToString()} can be rebooted; press Enter when they are back")
        return withContext(Dispatchers.IO) { readlnOrNull() } != null
    }

    private companion object {
        const val DEFAULT_REBOOT_SECONDS = 60
    }
}

internal class RunWaveCommand(onSelected: (OperatorCommand) -> Unit) :
    MaintenanceCommand("run-wave", "Drains, reboots and returns each instance of the pools once", onSelected) {
    val pools by argument(ArgType.String, "pools", "pools; all if none is named").vararg().optional()

    override fun newPlan(state: ConfigurationState, startedAt: Long): MaintenancePlan =
        MaintenancePlan(planName, false, pools, startedAt, batchSize, failureThreshold)
}

internal class RollOutCommand(onSelected: (OperatorCommand) -> Unit) :
    MaintenanceCommand("roll-out", "Restarts the instances of a pool in batches", onSelected) {
    val pool by argument(ArgType.String, "pool")
    val document by option(ArgType.String, "document", description = "document that the instances load").default("")
    val schema by option(ArgType.Int, "schema", description = "schema version of the document").default(1)
    val observeSeconds by option(ArgType.Int, "observe-seconds", description = "observation time after a batch")
        .default(0)

    override fun newPlan(state: ConfigurationState, startedAt: Long): MaintenancePlan {
        val key = document.takeIf { it.isNotEmpty() }?.let { DocumentKey(DocumentName(it), schema) }
        val version = key?.let { state.documents[it]?.version?.number } ?: 0
        val pause = observeSeconds.seconds.inWholeMilliseconds
        return MaintenancePlan(
            planName,
            true,
            listOf(pool),
            startedAt,
            batchSize,
            failureThreshold,
            pause,
            document,
            schema,
            version,
        )
    }
}
