package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationChange.AddInstance
import dogwoodgrade.configuration.ConfigurationChange.DrainInstance
import dogwoodgrade.configuration.ConfigurationChange.ObserveFailure
import dogwoodgrade.configuration.ConfigurationChange.ReturnInstance
import dogwoodgrade.configuration.ConfigurationChange.SetPool
import dogwoodgrade.configuration.ConfigurationChange.SetZone
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.configuration.apply
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import kotlin.test.fail
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val START: Instant = Instant.fromEpochSeconds(1_700_000_000)

internal fun setPool(name: String, budget: Int) =
    SetPool(PoolName(name), ServiceName("$name-service"), 8, 64, 30.seconds, budget, 1, false, Version.None)

internal fun addInstance(name: String, pool: String, zone: String, rack: String) =
    AddInstance(
        InstanceName(name),
        "127.0.0.1:9000",
        AvailabilityZone(zone),
        RackName(rack),
        WorkerName("worker-$name"),
        PoolName(pool),
    )

/**
 * Pools `p0`, `p1`, ... of [size] instances with [budget], and `spare`. Instance `p0-4` is number 4 of `p0`; it is in
 * zone `z1` (its number modulo 3) and shares rack `r4` with number 4 of every other pool.
 */
internal fun fleet(pools: Int = 3, size: Int = 6, budget: Int = 2, spares: Int = 3): ConfigurationState {
    val names = (0 until pools).map { "p$it" to size } + ("spare" to spares)
    val changes =
        names.map { (name, _) -> setPool(name, budget) } +
            names.flatMap { (pool, count) ->
                (0 until count).map { addInstance("$pool-$it", pool, "z${it % 3}", "r$it") }
            }
    return ConfigurationState.Empty.accept(changes)
}

internal fun ConfigurationState.accept(changes: List<ConfigurationChange>): ConfigurationState =
    changes.fold(this) { state, change ->
        when (val outcome = state.apply(change)) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> fail("$change was refused: $outcome")
        }
    }

internal fun ConfigurationState.accept(vararg changes: ConfigurationChange): ConfigurationState =
    accept(changes.asList())

internal fun drain(name: String, wave: String = "w") = DrainInstance(InstanceName(name), wave)

internal fun fail(name: String) = ObserveFailure(InstanceName(name))

internal fun ConfigurationState.zone(name: String, inService: Boolean) =
    SetZone(AvailabilityZone(name), inService, versionOf(AvailabilityZone(name)))

/** Returns every draining instance as maintained at [now]. */
internal fun ConfigurationState.returnAll(now: Instant): ConfigurationState =
    accept(instances.values.filter { it.draining }.map { ReturnInstance(it.name, requireNotNull(it.wave), now) })

internal fun List<DrainInstance>.names(): Set<String> = mapTo(LinkedHashSet()) { it.instance.text }
