package dogwoodgrade.limits

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.failureOrNull
import dogwoodgrade.model.flatMap
import dogwoodgrade.model.valueOrNull
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal val RED = TeamName("red")

internal fun entry(name: String, incarnation: Long = 1) = EntryIdentity(EntryName(name), incarnation)

internal fun report(entry: EntryIdentity, sequence: Long, release: Int = 0, take: Int = 0, wanted: Int = 0) =
    PermitReport(entry, sequence, mapOf(RED to PermitChange(release, take, wanted)))

/** Applies [steps] in order to the ledger; a refusal fails the test. */
internal fun PermitLedger.fold(vararg steps: (PermitLedger) -> Outcome<PermitLedger>): PermitLedger =
    steps.fold(this) { ledger, step -> checkNotNull(step(ledger).valueOrNull()) { step(ledger).toString() } }

class PermitLedgerTest {
    private val a = entry("a")
    private val b = entry("b")
    private val start =
        PermitLedger().fold({
            it.setLimit(RED, 10)
        }, { it.join(a) }, { it.join(b) }, { it.applyReport(report(a, 1, take = 8)) })

    @Test
    fun `an invalid record is refused with its result code and never throws`() {
        val huge = (0..MAX_TEAMS_PER_REPORT).associate { TeamName("t$it") to PermitChange(0, 0, 0) }
        val ended = start.fold({ it.end(a) })
        val cases = listOf(
            start.applyReport(report(a, 1)) to ResultCode.WrongSequence,
            start.applyReport(report(a, 3)) to ResultCode.WrongSequence,
            start.applyReport(report(a, 2, release = 9)) to ResultCode.InvalidValue,
            start.applyReport(report(b, 1, release = 1)) to ResultCode.InvalidValue,
            start.applyReport(report(a, 2, release = -1)) to ResultCode.InvalidValue,
            start.applyReport(report(a, 2, take = -1)) to ResultCode.InvalidValue,
            start.applyReport(report(a, 2, take = Int.MAX_VALUE)) to ResultCode.InvalidValue,
            start.applyReport(report(a, 2, wanted = Int.MIN_VALUE)) to ResultCode.InvalidValue,
            start.applyReport(PermitReport(a, 2, huge)) to ResultCode.InvalidValue,
            start.applyReport(report(entry("c"), 1)) to ResultCode.UnknownEntry,
            start.applyReport(report(entry("a", 2), 1)) to ResultCode.UnknownEntry,
            start.setLimit(RED, -1) to ResultCode.InvalidValue,
            start.setLimit(RED, MAX_PERMITS + 1) to ResultCode.InvalidValue,
            start.removeTeam(TeamName("blue")) to ResultCode.UnknownTeam,
            start.join(a) to ResultCode.StaleIncarnation,
            start.fold({ it.leave(a) }).join(a) to ResultCode.StaleIncarnation,
            start.end(entry("c")) to ResultCode.UnknownEntry,
            start.reclaim(a) to ResultCode.NotQuarantined,
            ended.applyReport(report(a, 2, release = 8)) to ResultCode.EntryEnded,
            ended.end(a) to ResultCode.EntryEnded,
            ended.leave(a) to ResultCode.EntryEnded,
            ended.fold({ it.reclaim(a) }).reclaim(a) to ResultCode.NotQuarantined,
        )
        cases.forEachIndexed {
            index,
            (outcome, code),
            ->
            assertEquals(code, outcome.failureOrNull()?.code, "case $index")
        }
    }

    @Test
    fun `a lowered limit makes free negative and nothing is taken until releases make it positive`() {
        val lowered = start.fold({ it.setLimit(RED, 5) }, { it.applyReport(report(b, 1, take = 3, wanted = 3)) })
        assertEquals(-3, lowered.teams.getValue(RED).free)
        assertEquals(0, lowered.teams.getValue(RED).heldBy(b))
        val later = lowered.fold(
            { it.applyReport(report(a, 2, release = 4)) },
            { it.applyReport(report(b, 2, take = 3)) },
        )
        assertEquals(1, later.teams.getValue(RED).heldBy(b))
        assertTrue(later.isConsistent)
    }

    @Test
    fun `a team that is created again while its tasks run does not get their permits twice`() {
        val removed = start.fold({ it.removeTeam(RED) })
        assertEquals(ResultCode.UnknownTeam, removed.removeTeam(RED).failureOrNull()?.code)
        assertEquals(
            2,
            removed
                .fold({ it.setLimit(RED, 10) })
                .teams
                .getValue(RED)
                .free,
        )
        assertNull(removed.fold({ it.applyReport(report(a, 2, release = 8)) }).teams[RED])
        assertNull(removed.fold({ it.end(a) }, { it.reclaim(a) }).teams[RED])
    }

    @Test
    fun `a report that names a removed team still takes effect, so that its sender is not blocked`() {
        val reported = start.fold({ it.leave(a) }, { it.removeTeam(RED) }, { it.applyReport(report(b, 1, take = 1)) })
        assertEquals(1, reported.reportSequences[b])
    }

    @Test
    fun `permits of an ended entry are free only after the reclaim`() {
        val ended = start.end(a)
        assertEquals(
            2,
            ended
                .valueOrNull()
                ?.teams
                ?.get(RED)
                ?.free,
        )
        assertEquals(
            10,
            ended
                .flatMap { it.reclaim(a) }
                .valueOrNull()
                ?.teams
                ?.get(RED)
                ?.free,
        )
    }

    @Test
    fun `a snapshot with surplus permits or with holders that have not joined is not consistent`() {
        assertTrue(start.isConsistent)
        assertEquals(false, start.copy(teams = start.teams.mapValues { it.value.copy(free = 3) }).isConsistent)
        assertEquals(false, start.copy(reportSequences = emptyMap()).isConsistent)
    }
}
