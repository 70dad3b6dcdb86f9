package dogwoodgrade.operator

import dogwoodgrade.configuration.ConfigurationChange.MoveInstance
import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.failureOrNull
import dogwoodgrade.model.flatMap
import dogwoodgrade.model.valueOrNull
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Reading, writing, planning and comparing fleet files. */
class FleetFileTest {
    private val file =
        FleetFile(
            listOf(TeamItem("granito", 3, 8, 5_000), TeamItem("fraser", 1, 4)),
            listOf(PoolItem("pricing", "price", budget = 1), PoolItem("spare", "spare", budget = 1)),
            listOf(InstanceItem("i1", "127.0.0.1:9000", "a", "r1", "w1", "pricing")),
            listOf(DocumentItem("rates", 2, "a = \"1\\2\"\n\tb = [1] # c\n")),
        )

    private fun stateOf(file: FleetFile): ConfigurationState =
        assertNotNull(
            planFile(ConfigurationState.Empty, file)
                .flatMap { applyAll(ConfigurationState.Empty, it) }
                .valueOrNull(),
        )

    @Test
    fun `a shown file is read back unchanged and needs no change`() {
        val state = stateOf(file)
        val shown = fleetFileOf(state)
        assertEquals(Outcome.Success(shown), parseFleetFile(formatFleetFile(shown)))
        assertEquals(Outcome.Success(emptyList()), planFile(state, shown))
        assertEquals(emptyList(), compareFile(state, shown).rows)
    }

    @Test
    fun `an edited item names the version that the file was based on`() {
        val state = stateOf(file)
        val shown = fleetFileOf(state)
        val edited =
            shown.copy(
                teams = shown.teams.map { if (it.name == "granito") it.copy(share = 5) else it },
                instances = shown.instances.map { it.copy(pool = "spare") },
            )
        val changes = assertNotNull(planFile(state, edited).valueOrNull())
        assertEquals(listOf(Version(1)), changes.filterIsInstance<SetTeam>().map { it.baseVersion })
        assertEquals(MoveInstance(InstanceName("i1"), PoolName("pricing"), PoolName("spare")), changes.last())
        assertEquals(listOf("team granito", "share", "3", "5"), compareFile(state, edited).rows.first())
        val meanwhile = assertNotNull(applyAll(state, listOf(changes.first())).valueOrNull())
        val other = edited.copy(teams = edited.teams.map { it.copy(share = 7) })
        val refused = planFile(meanwhile, other).flatMap { applyAll(meanwhile, it) }.failureOrNull()
        assertEquals(ResultCode.VersionConflict, refused?.code)
        assertEquals(5, meanwhile.teams.getValue(TeamName("granito")).share)
    }

    @Test
    fun `a file with an unknown field or an invalid name is refused as InvalidValue`() {
        assertEquals(ResultCode.InvalidValue, parseFleetFile("[[teams]]\nname = \"x\"\nsize = 1").failureOrNull()?.code)
        val named = FleetFile(listOf(TeamItem("No Name", 1, 1)))
        assertEquals(ResultCode.InvalidValue, planFile(ConfigurationState.Empty, named).failureOrNull()?.code)
    }
}
