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

/** A subcommand that carries out a wave or roll-out, or goes on with it. */
internal abstract class MaintenanceCommand(name: String, description: String, selected: (OperatorCommand) -> Unit) :
    OperatorCommand(name, description, selected) {
    val plan by argument(ArgType.String, "name", "name; one that exists is continued with its own settings")
    val threshold by option(ArgType.Int, "failure-threshold", description = "halt above this number of failures")
        .default(0)
    val batch by option(ArgType.Int, "batch", description = "largest number of drains at once").default(Int.MAX_VALUE)
    val reboot by option(ArgType.Int, "reboot-seconds", description = "time until an idle instance is returned")
        .default(DEFAULT_REBOOT_SECONDS)
    val ask by option(ArgType.Boolean, "ask", description = "wait for Enter before each reboot").default(false)

    /** The plan to publish if there is none with this name yet. */
    abstract fun newPlan(state: ConfigurationState, startedAt: Long): MaintenancePlan

    override suspend fun run(context: OperatorContext): CommandResult {
        (context.session.refresh() as? Failure)?.let { return resultOf(it) }
        if (publishedPlan(context.session.state.configuration, plan) == null) {
            val new = newPlan(context.session.state.configuration, context.now().toEpochMilliseconds())
            val failure = context.session.propose(publicationOf(new)) as? Failure
            // Another operator who published the same name first is followed.
            if (failure != null && failure.code != ResultCode.VersionConflict) return resultOf(failure)
        } else {
            context.progress("going on with $plan")
        }
        val current = publishedPlan(context.session.state.configuration, plan)
            ?: return CommandResult(ResultCode.InvalidValue, "the document of $plan cannot be read")
        return MaintenanceRun(context, current, reboot.seconds, ::goAhead).run()
    }

    private suspend fun goAhead(instances: Set<InstanceName>): Boolean {
        if (!ask) return true
        System.err.println("operator: ${instances.joinToString()} can be rebooted; press Enter when they are back")
        return withContext(Dispatchers.IO) { readlnOrNull() } != null
    }

    private companion object {
        const val DEFAULT_REBOOT_SECONDS = 60
    }
}

internal class RunWaveCommand(selected: (OperatorCommand) -> Unit) :
    MaintenanceCommand("run-wave", "Maintains every instance of the scope once", selected) {
    val pools by argument(ArgType.String, "pools", "pools; all if none is named").vararg().optional()

    override fun newPlan(state: ConfigurationState, startedAt: Long): MaintenancePlan =
        MaintenancePlan(plan, false, pools, startedAt, batch, threshold)
}

internal class RollOutCommand(selected: (OperatorCommand) -> Unit) :
    MaintenanceCommand("roll-out", "Restarts the instances of a pool in batches", selected) {
    val pool by argument(ArgType.String, "pool")
    val document by option(ArgType.String, "document", description = "document that the instances load").default("")
    val schema by option(ArgType.Int, "schema", description = "schema version of the document").default(1)
    val observe by option(ArgType.Int, "observe-seconds", description = "pause after a batch").default(0)

    override fun newPlan(state: ConfigurationState, startedAt: Long): MaintenancePlan {
        val key = document.takeIf { it.isNotEmpty() }?.let { DocumentKey(DocumentName(it), schema) }
        val version = key?.let { state.documents[it]?.version?.number } ?: 0
        val pause = observe.seconds.inWholeMilliseconds
        return MaintenancePlan(plan, true, listOf(pool), startedAt, batch, threshold, pause, document, schema, version)
    }
}
