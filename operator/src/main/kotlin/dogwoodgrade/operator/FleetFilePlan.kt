package dogwoodgrade.operator

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationChange.AddInstance
import dogwoodgrade.configuration.ConfigurationChange.MoveInstance
import dogwoodgrade.configuration.ConfigurationChange.SetDocument
import dogwoodgrade.configuration.ConfigurationChange.SetPool
import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.apply
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.InstanceName
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
import dogwoodgrade.model.flatMap
import kotlin.time.Duration.Companion.milliseconds

/**
 * Returns the changes that bring [state] in line with [file]. Items that are already equal need no change, and items
 * that the file does not list stay as they are.
 */
internal fun planFile(state: ConfigurationState, file: FleetFile): Outcome<List<ConfigurationChange>> {
    val current = fleetFileOf(state)
    val teams = changedItems(current.teams, file.teams, TeamItem::name) { it.copy(version = 0) }
    val pools = changedItems(current.pools, file.pools, PoolItem::name) { it.copy(version = 0) }
    val instances = changedItems(current.instances, file.instances, InstanceItem::name) { it.copy(basedOnPool = "") }
    val documents = changedItems(current.documents, file.documents, { it.name to it.schema }) { it.copy(version = 0) }
    return try {
        Success(
            teams.map(::changeOf) + pools.map(::changeOf) + instances.map { changeOf(state, it) } +
                documents.map(::changeOf),
        )
    } catch (failure: IllegalArgumentException) {
        Failure(ResultCode.InvalidValue, failure.message ?: "a name is not valid")
    }
}

private fun <Item> changedItems(
    current: List<Item>,
    wanted: List<Item>,
    key: (Item) -> Any,
    withoutBase: (Item) -> Item,
): List<Item> {
    val currentByKey = current.associateBy(key, withoutBase)
    return wanted.filter { withoutBase(it) != currentByKey[key(it)] }
}

private fun changeOf(item: TeamItem): ConfigurationChange =
    SetTeam(
        TeamName(item.name),
        item.share,
        item.upperLimit,
        item.refuseWhenStaleAfterMilliseconds.takeIf { it >= 0 }?.milliseconds,
        Version(item.version),
    )

private fun changeOf(item: PoolItem): ConfigurationChange =
    SetPool(
        PoolName(item.name),
        ServiceName(item.service),
        item.slots,
        item.connections,
        item.taskLeaseMilliseconds.milliseconds,
        item.budget,
        item.urgentReserve,
        item.open,
        Version(item.version),
    )

private fun changeOf(item: DocumentItem): ConfigurationChange =
    SetDocument(DocumentName(item.name), item.schema, item.content, Version(item.version))

private fun changeOf(state: ConfigurationState, item: InstanceItem): ConfigurationChange {
    val name = InstanceName(item.name)
    val pool = PoolName(item.pool)
    val currentInstance = state.instances[name]
    return if (currentInstance == null || currentInstance.pool == pool) {
        // An instance cannot change its address, zone, rack or worker: AddInstance is refused because the name exists,
        // and the operator has to remove the instance first.
        val zone = AvailabilityZone(item.zone)
        AddInstance(name, item.address, zone, RackName(item.rack), WorkerName(item.worker), pool)
    } else {
        MoveInstance(name, PoolName(item.basedOnPool.ifEmpty { currentInstance.pool.text }), pool)
    }
}

/** Applies [changes] in order; returns the resulting state, or the first refusal. */
internal fun applyAll(state: ConfigurationState, changes: List<ConfigurationChange>): Outcome<ConfigurationState> =
    changes.fold(Success(state) as Outcome<ConfigurationState>) { result, change ->
        result.flatMap { it.apply(change) }
    }

/** Returns a table with one row for each field that differs between [state] and [file]. */
internal fun compareFile(state: ConfigurationState, file: FleetFile): Table {
    val current = fleetFileOf(state)
    val rows =
        differences("team", current.teams, file.teams) { it.name } +
            differences("pool", current.pools, file.pools) { it.name } +
            differences("instance", current.instances, file.instances) { it.name } +
            differences("document", current.documents, file.documents) { "${it.name}/${it.schema}" }
    return Table("differences", listOf("item", "field", "current", "file"), rows)
}

private fun <Item : Any> differences(kind: String, current: List<Item>, wanted: List<Item>, key: (Item) -> String) =
    wanted.flatMap { item ->
        val before = current.firstOrNull { key(it) == key(item) }?.let(::fieldsOf).orEmpty()
        fieldsOf(item).filter { (field, value) -> before[field] != value }.map { (field, value) ->
            cells("$kind ${key(item)}", field, before[field] ?: "-", value)
        }
    }

private fun fieldsOf(item: Any): Map<String, String> =
    when (item) {
        is TeamItem ->
            mapOf(
                "share" to item.share,
                "upperLimit" to item.upperLimit,
                "refuseWhenStaleAfterMilliseconds" to item.refuseWhenStaleAfterMilliseconds,
                "version" to item.version,
            )
        is PoolItem ->
            mapOf(
                "service" to item.service,
                "slots" to item.slots,
                "connections" to item.connections,
                "taskLeaseMilliseconds" to item.taskLeaseMilliseconds,
                "budget" to item.budget,
                "urgentReserve" to item.urgentReserve,
                "open" to item.open,
                "version" to item.version,
            )
        is InstanceItem ->
            mapOf(
                "address" to item.address,
                "zone" to item.zone,
                "rack" to item.rack,
                "worker" to item.worker,
                "pool" to item.pool,
            )
        is DocumentItem -> mapOf("content" to item.content, "version" to item.version)
        else -> emptyMap()
    }.mapValues { it.value.toString() }
