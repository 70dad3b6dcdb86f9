package dogwoodgrade.configuration

import dogwoodgrade.configuration.ConfigurationChange.AddInstance
import dogwoodgrade.configuration.ConfigurationChange.SetPool
import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import dogwoodgrade.model.failureOrNull
import dogwoodgrade.model.valueOrNull
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds

internal fun setTeam(name: String, upperLimit: Int = 12, base: Long = 0) =
    SetTeam(TeamName(name), 1, upperLimit, null, Version(base))

internal fun setPool(name: String, budget: Int = 2, base: Long = 0) =
    SetPool(PoolName(name), ServiceName("$name-service"), 8, 64, 30.seconds, budget, 1, false, Version(base))

internal fun addInstance(name: String, pool: String, zone: String, rack: String = "rack-$name") =
    AddInstance(
        InstanceName(name),
        "127.0.0.1:9000",
        AvailabilityZone(zone),
        RackName(rack),
        WorkerName("worker-$name"),
        PoolName(pool),
    )

/** Pool `p` with budget 2 and six instances, two in each of the zones `a`, `b` and `c`, and an empty pool `spare`. */
internal fun sampleState(): ConfigurationState =
    listOf(setPool("p"), setPool("spare"), setTeam("t"))
        .plus((1..6).map { addInstance("i$it", "p", listOf("a", "b", "c")[(it - 1) / 2]) })
        .fold(ConfigurationState.Empty) { state, change -> state.accept(change) }

internal fun ConfigurationState.accept(change: ConfigurationChange): ConfigurationState =
    assertNotNull(apply(change).valueOrNull(), "${apply(change)}")

internal fun assertRefused(code: ResultCode, outcome: Outcome<*>) = assertEquals(code, outcome.failureOrNull()?.code)
