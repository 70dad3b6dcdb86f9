package dogwoodgrade.operator

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.DocumentKey
import dogwoodgrade.configuration.Instance
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import java.nio.file.Files
import java.nio.file.Path
import java.security.SecureRandom
import kotlin.time.Duration.Companion.milliseconds

private typealias Selected = (OperatorCommand) -> Unit

private const val BASE = "version that the change is based on; the version just read if absent"

/** Returns the version given with `--base`, or the [current] one. */
internal fun baseVersion(base: Int?, current: Version?): Version =
    base?.let { Version(it.toLong()) } ?: current ?: Version.None

private fun single(change: (ConfigurationState) -> ConfigurationChange): ChangePlan = { Success(listOf(change(it))) }

private fun withInstance(name: String, change: (Instance) -> ConfigurationChange): ChangePlan =
    { state ->
        state.instances[InstanceName(name)]?.let { Success(listOf(change(it))) }
            ?: Failure(ResultCode.UnknownInstance, "instance $name does not exist")
    }

internal class SetTeamCommand(selected: Selected) : ChangeCommand("set-team", "Creates or edits a team", selected) {
    val team by argument(ArgType.String, "team")
    val share by option(ArgType.Int, "share", description = "share; 1 for a new team")
    val upperLimit by option(ArgType.Int, "upper-limit", description = "tasks at once in the whole fleet")
    val staleAfter by option(ArgType.Int, "refuse-when-stale-after", description = "milliseconds; -1 for never")
    val base by option(ArgType.Int, "base", description = BASE)

    override fun plan(): ChangePlan =
        single { state ->
            val name = TeamName(team)
            val known = state.teams[name]
            val stale = staleAfter?.let { given -> given.takeIf { it >= 0 }?.milliseconds }
            ConfigurationChange.SetTeam(
                name,
                share ?: known?.share ?: 1,
                upperLimit ?: known?.upperLimit ?: 0,
                if (staleAfter == null) known?.refuseWhenStaleAfter else stale,
                baseVersion(base, known?.version),
            )
        }
}

internal class GiveKeyCommand(selected: Selected) : OperatorCommand("give-key", "Gives a team a key", selected) {
    val team by argument(ArgType.String, "team")
    val key by option(ArgType.String, "key", description = "the key; a new one is made and printed if absent")

    /** The new key is printed in every outcome in which it may have been given, as it is kept nowhere else. */
    override suspend fun run(context: OperatorContext): CommandResult {
        val text = key ?: newKey(SecureRandom()::nextBytes)
        val change = ConfigurationChange.GiveKey(TeamName(team), KeyDigest.of(text))
        val result = proposeAll(context, single { change })
        val given = result.code in setOf(ResultCode.Accepted, ResultCode.NotConfirmed, ResultCode.LogAnswerLost)
        if (key != null || !given) return result
        return result.copy(tables = result.tables + Table("key", listOf("key"), listOf(listOf(text))))
    }
}

internal class WithdrawKeyCommand(selected: Selected) :
    ChangeCommand("withdraw-key", "Withdraws a key of a team", selected) {
    val key by argument(ArgType.String, "key", "the key, its digest, or the short digest that show prints")

    override fun plan(): ChangePlan =
        { state ->
            val digest = digestOf(key, state.keys.keys)
            state.keys[digest]?.let { Success(listOf(ConfigurationChange.WithdrawKey(it, digest))) }
                ?: Failure(ResultCode.StateUnchanged, "key $digest is not given to any team")
        }
}

internal class SetPoolCommand(selected: Selected) : ChangeCommand("set-pool", "Creates or edits a pool", selected) {
    val pool by argument(ArgType.String, "pool")
    val service by option(ArgType.String, "service", description = "service; the pool's name for a new pool")
    val slots by option(ArgType.Int, "slots", description = "slots of an endpoint")
    val connections by option(ArgType.Int, "connections", description = "connections of an endpoint")
    val taskLease by option(ArgType.Int, "task-lease", description = "task lease in milliseconds")
    val budget by option(ArgType.Int, "budget", description = "availability budget, in instances")
    val urgentReserve by option(ArgType.Int, "urgent-reserve", description = "slots that only urgent work takes")
    val open by option(ArgType.Boolean, "open", description = "needs no key")
    val base by option(ArgType.Int, "base", description = BASE)

    override fun plan(): ChangePlan =
        single { state ->
            val name = PoolName(pool)
            val known = state.pools[name]
            ConfigurationChange.SetPool(
                name,
                service?.let(::ServiceName) ?: known?.service ?: ServiceName(pool),
                slots ?: known?.slotsPerEndpoint ?: 8,
                connections ?: known?.connectionsPerEndpoint ?: 64,
                taskLease?.milliseconds ?: known?.taskLease ?: 60_000.milliseconds,
                budget ?: known?.availabilityBudget ?: 1,
                urgentReserve ?: known?.urgentReserve ?: 1,
                open ?: known?.open ?: false,
                baseVersion(base, known?.version),
            )
        }
}

internal class AddInstanceCommand(selected: Selected) :
    ChangeCommand("add-instance", "Adds an instance to a pool", selected) {
    val instance by argument(ArgType.String, "instance")
    val address by option(ArgType.String, "address", description = "host:port").required()
    val zone by option(ArgType.String, "zone", description = "availability zone").required()
    val rack by option(ArgType.String, "rack", description = "rack").required()
    val worker by option(ArgType.String, "worker", description = "worker; the instance's name if absent")
    val pool by option(ArgType.String, "pool", description = "pool").required()

    override fun plan(): ChangePlan =
        single {
            val host = WorkerName(worker ?: instance)
            val place = AvailabilityZone(zone)
            ConfigurationChange.AddInstance(
                InstanceName(instance),
                address,
                place,
                RackName(rack),
                host,
                PoolName(pool),
            )
        }
}

internal class MoveInstanceCommand(selected: Selected) :
    ChangeCommand("move-instance", "Moves an instance to another pool", selected) {
    val instance by argument(ArgType.String, "instance")
    val to by argument(ArgType.String, "to", "the new pool")
    val from by option(ArgType.String, "from", description = "pool that it must be in; the present one if absent")

    override fun plan(): ChangePlan =
        withInstance(instance) {
            ConfigurationChange.MoveInstance(it.name, from?.let(::PoolName) ?: it.pool, PoolName(to))
        }
}

internal class DrainCommand(selected: Selected) : ChangeCommand("drain", "Drains an instance", selected) {
    val instance by argument(ArgType.String, "instance")
    val wave by option(ArgType.String, "wave", description = "name of the planned work").default("manual")

    override fun plan(): ChangePlan = withInstance(instance) { ConfigurationChange.DrainInstance(it.name, wave) }
}

internal class ReturnCommand(selected: Selected) : ChangeCommand("return", "Returns a drained instance", selected) {
    val instance by argument(ArgType.String, "instance")

    override fun plan(): ChangePlan =
        withInstance(instance) { ConfigurationChange.ReturnInstance(it.name, it.wave ?: "manual", null) }
}

internal class RemoveCommand(selected: Selected) :
    ChangeCommand("remove", "Removes a draining or failed instance", selected) {
    val instance by argument(ArgType.String, "instance")

    override fun plan(): ChangePlan = withInstance(instance) { ConfigurationChange.RemoveInstance(it.name) }
}

internal class ObserveCommand(private val failed: Boolean, selected: Selected) :
    ChangeCommand(
        if (failed) "observe-failure" else "observe-recovery",
        if (failed) "Records that an instance has failed" else "Records that a failed instance works again",
        selected,
    ) {
    val instance by argument(ArgType.String, "instance")

    override fun plan(): ChangePlan =
        withInstance(instance) {
            if (failed) ConfigurationChange.ObserveFailure(it.name) else ConfigurationChange.ObserveRecovery(it.name)
        }
}

internal class ZoneCommand(private val inService: Boolean, selected: Selected) :
    ChangeCommand(
        if (inService) "zone-in" else "zone-out",
        if (inService) "Returns an availability zone to service" else "Takes an availability zone out of service",
        selected,
    ) {
    val zone by argument(ArgType.String, "zone")
    val base by option(ArgType.Int, "base", description = BASE)

    override fun plan(): ChangePlan =
        single { state ->
            val name = AvailabilityZone(zone)
            ConfigurationChange.SetZone(name, inService, baseVersion(base, state.versionOf(name)))
        }
}

internal class SetDocumentCommand(selected: Selected) :
    ChangeCommand("set-document", "Publishes a file as a document", selected) {
    val document by argument(ArgType.String, "document")
    val file by argument(ArgType.String, "file")
    val schema by option(ArgType.Int, "schema", description = "schema version of the content").default(1)
    val base by option(ArgType.Int, "base", description = BASE)

    override fun plan(): ChangePlan =
        { state ->
            val key = DocumentKey(DocumentName(document), schema)
            val content: Outcome<String> =
                runCatching { Files.readString(Path.of(file)) }.fold(
                    { Success(it) },
                    { Failure(ResultCode.InvalidValue, "the file $file cannot be read") },
                )
            when (content) {
                is Failure -> content
                is Success -> {
                    val version = baseVersion(base, state.documents[key]?.version)
                    Success(listOf(ConfigurationChange.SetDocument(key.name, schema, content.value, version)))
                }
            }
        }
}
