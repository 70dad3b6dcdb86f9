package dogwoodgrade.operator

import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.failureOrNull
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Proposals to an in-memory log, in virtual time. */
class ControlSessionTest {
    private val log = InMemoryLog()
    private val team = TeamName("granito")

    @Test
    fun `of two changes based on the same version one is accepted and one is refused with its code`() =
        runTest {
            val first = log.session("first")
            val second = log.session("second")
            first.refresh()
            second.refresh()
            assertIs<Outcome.Success<*>>(first.propose(SetTeam(team, 1, 4, null, Version.None)))
            val refusal = second.propose(SetTeam(team, 9, 9, null, Version.None)).failureOrNull()
            assertEquals(ResultCode.VersionConflict, refusal?.code)
            assertEquals(
                1,
                second.state.configuration.teams
                    .getValue(team)
                    .share,
            )
        }

    @Test
    fun `a change whose answer was lost takes effect once`() =
        runTest {
            log.answersToLose = 1
            val session = log.session("operator")
            val outcome = assertIs<Outcome.Success<*>>(session.propose(SetTeam(team, 1, 4, null, Version.None)))
            assertEquals(
                Version(1),
                session.state.configuration.teams
                    .getValue(team)
                    .version,
                "$outcome",
            )
        }

    @Test
    fun `a proposal to an unreachable log fails with LogUnreachable as nothing was appended`() =
        runTest {
            log.unreachable = true
            val refusal = log.session("operator").propose(SetTeam(team, 1, 4, null, Version.None)).failureOrNull()
            assertEquals(ResultCode.LogUnreachable, refusal?.code)
        }
}
