package dogwoodgrade.control

import dogwoodgrade.configuration.ConfigurationChange.GiveKey
import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.configuration.ConfigurationChange.WithdrawKey
import dogwoodgrade.control.ControlBody.Configure
import dogwoodgrade.control.ControlBody.EndEntry
import dogwoodgrade.control.ControlBody.JoinEntry
import dogwoodgrade.control.ControlBody.LeaveEntry
import dogwoodgrade.control.ControlBody.ReclaimPermits
import dogwoodgrade.control.ControlBody.ReportPermits
import dogwoodgrade.limits.PermitChange
import dogwoodgrade.limits.PermitReport
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class FoldRecordTest {
    private val team = TeamName("t")
    private val digest = KeyDigest.of("key")
    private val first = EntryIdentity(EntryName("e1"), 1)
    private val second = EntryIdentity(EntryName("e2"), 1)

    private fun record(identifier: String, body: ControlBody, version: Int = 1) =
        DecodedRecord(
            RecordIdentifier(identifier),
            version,
            Success(ControlRecord(RecordIdentifier(identifier), version, "test", body)),
        )

    private fun setTeam(limit: Int, base: Long) = Configure(SetTeam(team, 1, limit, null, Version(base)))

    private fun join(entry: EntryIdentity, schema: Int = 2, peer: String = "${entry.name}:1") =
        JoinEntry(JoinedEntry(entry, AvailabilityZone("a"), peer, "o:1", schema))

    private fun foldAll(vararg bodies: ControlBody): ControlState =
        bodies.foldIndexed(ControlState.Empty) { index, state, body ->
            state.fold(Offset(index.toLong()), record("r$index", body))
        }

    private fun ControlState.codeOf(identifier: String) = assertNotNull(outcomes[RecordIdentifier(identifier)]).code

    @Test
    fun `a copy of an old key record does not restore a withdrawn key`() {
        val state = foldAll(setTeam(5, 0), Configure(GiveKey(team, digest)), Configure(WithdrawKey(team, digest)))
        val after = state.fold(Offset(3), record("r1", Configure(GiveKey(team, digest))))
        assertNull(after.configuration.teamOf(digest))
        assertEquals(Offset(4), after.offset)
    }

    @Test
    fun `records below the folded offset change nothing`() {
        val state = foldAll(setTeam(5, 0), setTeam(6, 1))
        assertEquals(state, state.fold(Offset(0), record("other", setTeam(99, 2))))
    }

    @Test
    fun `a gap is refused so that no record is skipped`() {
        assertFailsWith<IllegalArgumentException> { foldAll().fold(Offset(1), record("r", setTeam(5, 0))) }
    }

    @Test
    fun `an undecodable record advances the offset and is refused`() {
        val failure = Failure(ResultCode.MalformedRecord, "bad")
        val state = foldAll().fold(Offset.Zero, DecodedRecord(RecordIdentifier("x"), 1, failure))
        assertEquals(Offset(1), state.offset)
        assertEquals(ResultCode.MalformedRecord, state.codeOf("x"))
    }

    @Test
    fun `a schema version that one entry cannot fold is refused by all`() {
        val mixed = foldAll(join(first, schema = 2), join(second, schema = 1))
        val refused = mixed.fold(Offset(2), record("new", setTeam(5, 0), version = 2))
        assertEquals(ResultCode.UnsupportedSchemaVersion, refused.codeOf("new"))
        val upgraded = refused.fold(Offset(3), record("left", LeaveEntry(second)))
        val accepted = upgraded.fold(Offset(4), record("again", setTeam(5, 0), version = 2))
        assertTrue(accepted.codeOf("again") == ResultCode.Accepted)
        val late = accepted.fold(Offset(5), record("old", join(EntryIdentity(EntryName("e3"), 1), schema = 1)))
        assertEquals(ResultCode.UnsupportedSchemaVersion, late.codeOf("old"))
    }

    @Test
    fun `permits of an ended entry stay quarantined until they are reclaimed`() {
        val take = ReportPermits(PermitReport(first, 1, mapOf(team to PermitChange(0, 4, 4))))
        val ended = foldAll(setTeam(5, 0), join(first), take, EndEntry(first, "refused"))
        val permits = ended.permits.teams.getValue(team)
        assertEquals(1, permits.free)
        assertFalse(ended.isJoined(first))
        val late = ended.fold(Offset(4), record("late", take))
        assertEquals(ended.permits, late.permits)
        val reclaimed = late.fold(Offset(5), record("back", ReclaimPermits(first)))
        assertEquals(
            5,
            reclaimed.permits.teams
                .getValue(team)
                .free,
        )
    }

    @Test
    fun `a process that joins on the address of an earlier run ends it, one on another address does not`() {
        val restarted = EntryIdentity(first.name, 2)
        val joined = foldAll(join(first))
        val elsewhere = joined.fold(Offset(1), record("x", join(restarted, peer = "other:1")))
        assertTrue(elsewhere.isJoined(first))
        val same = joined.fold(Offset(1), record("x", join(restarted)))
        assertTrue(same.isJoined(restarted))
    }

    @Test
    fun `outcomes are kept for at least one generation`() {
        var outcomes = RecordOutcomes.Empty
        val count = RecordOutcomes.GENERATION_SIZE * 2
        for (index in 0..count) {
            outcomes += RecordOutcome(RecordIdentifier("r$index"), Offset(index.toLong()), ResultCode.Accepted, "")
        }
        assertNotNull(outcomes[RecordIdentifier("r${count - RecordOutcomes.GENERATION_SIZE}")])
        assertNull(outcomes[RecordIdentifier("r0")])
    }
}
