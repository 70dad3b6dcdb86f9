package dogwoodgrade.membership

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import kotlin.test.Test
import kotlin.test.assertEquals

class EndEvidenceTest {
    private val target = EntryIdentity(EntryName("entry-a"), 5)
    private val refused = ProbeResult.ConnectionRefused

    private fun evidence(vararg results: ProbeResult) =
        results.fold(ProbeHistory(target)) { history, result -> history.after(result) }.evidence()

    /** Guards against permits that are freed while an unreachable or paused entry still runs tasks. */
    @Test
    fun `a missing answer is never evidence and interrupts consecutive refusals`() {
        assertEquals(null, evidence(*Array(100) { ProbeResult.NoAnswer }))
        assertEquals(null, evidence(refused))
        assertEquals(null, evidence(refused, ProbeResult.NoAnswer, refused))
        assertEquals(null, evidence(refused, ProbeResult.Answered(target), refused))
        assertEquals(EndEvidence.ConnectionsRefused, evidence(refused, refused))
    }

    /** Guards against evidence from another entry on a reused address, or from an earlier incarnation. */
    @Test
    fun `only a newer incarnation of the same entry is evidence`() {
        val newer = EntryIdentity(target.name, 6)
        assertEquals(EndEvidence.NewerIncarnation(newer), evidence(ProbeResult.Answered(newer)))
        assertEquals(null, evidence(ProbeResult.Answered(EntryIdentity(EntryName("entry-b"), 6))))
        assertEquals(null, evidence(ProbeResult.Answered(EntryIdentity(target.name, 4))))
    }
}
