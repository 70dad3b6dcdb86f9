package dogwoodgrade.node

import dogwoodgrade.ownership.Candidate
import dogwoodgrade.ownership.CandidateDecision
import dogwoodgrade.ownership.ClockReading
import dogwoodgrade.ownership.OwnershipPolicy
import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.ownership.decideClaim
import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobProgress
import dogwoodgrade.scheduling.JobState
import dogwoodgrade.scheduling.Resources
import dogwoodgrade.scheduling.Step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests a job table that is filled from the summary of the jobs. */
class SummaryTableTest {
    private val now = Instant.fromEpochMilliseconds(1_000_000)
    private val table = JobTable().apply { followSummary() }

    private fun job(name: String) =
        Job(
            JobIdentifier(name),
            "queue",
            "pool",
            "team",
            "payload",
            listOf(Step(1, Resources(1, 1), 1.seconds)),
            null,
            now,
        )

    private fun jobRecord(name: String, offset: Long = 0) =
        KeyedRecord(FleetRecords.jobKey(JobIdentifier(name)), FleetRecords.encode(job(name)), offset)

    private fun state(name: String, state: JobState) =
        KeyedRecord(
            FleetRecords.stateKey(JobIdentifier(name)),
            FleetRecords.encode(PublishedState(state, "queue")),
            0,
        )

    private fun position(offset: Long) =
        KeyedRecord(FleetRecords.JOBS_POSITION_KEY, FleetRecords.encodePosition(offset), 0)

    private fun read(vararg records: KeyedRecord, snapshot: Boolean = false) =
        table.applySummary(FollowedRecords(records.toList(), snapshot, 9, reachedEnd = true))

    private fun stateOf(name: String) = table[JobIdentifier(name)]?.state

    /** Guards against a job that counts as unknown because its page was read before the page with the position. */
    @Test
    fun `a snapshot of the summary is complete only with the changes made while it was read`() {
        read(position(5), state("a", JobState.Active), snapshot = true)
        assertFalse(table.isComplete())
        read()
        assertTrue(table.isComplete())
        assertEquals(5, table.readTo())
        read(position(7), snapshot = true)
        assertFalse(table.isComplete())
    }

    @Test
    fun `a summary without a position never makes the table complete`() {
        read(state("a", JobState.Active), snapshot = true)
        read(state("b", JobState.Active))
        assertFalse(table.isComplete())
        read(position(0))
        assertTrue(table.isComplete())
    }

    @Test
    fun `jobs behind the position are known by queue and state, without their records`() {
        read(position(1), state("a", JobState.Active), snapshot = true)
        table.applyJob(jobRecord("a"))
        table.applyJob(jobRecord("b", 1))
        table.addAccepted(job("c"))
        assertEquals(JobState.Active, stateOf("a"))
        assertEquals(JobState.Queued, stateOf("b"))
        assertEquals(2, table.countPending("queue").pending)
        assertTrue(listOf("a", "b", "c").all { table[JobIdentifier(it)]?.job == null })
        read(state("b", JobState.Completed))
        assertEquals(JobState.Completed, stateOf("b"))
    }

    @Test
    fun `a job that the owner has forgotten is unknown`() {
        read(state("a", JobState.Completed), state("b", JobState.Completed))
        read(KeyedRecord(FleetRecords.stateKey(JobIdentifier("a")), null, 1))
        assertNull(stateOf("a"))
        read(snapshot = true)
        assertNull(stateOf("b"))
    }

    /** Guards against jobs that count as waiting until a restart because they were forgotten during a cut. */
    @Test
    fun `a job that a snapshot no longer names is unknown, whatever its state`() {
        read(position(1), state("a", JobState.Queued), state("b", JobState.Active), state("c", JobState.Queued))
        table.addAccepted(job("d"))
        table.applyJob(jobRecord("e", 1))
        read(position(2), state("c", JobState.Queued), snapshot = true)
        assertNull(stateOf("a"))
        assertNull(stateOf("b"))
        assertEquals(listOf(JobState.Queued, JobState.Queued, JobState.Queued), listOf("c", "d", "e").map(::stateOf))
    }

    /** Guards against an accepted job that is unknown because of one record that cannot be decoded. */
    @Test
    fun `a malformed state removes no job`() {
        read(position(1), state("a", JobState.Active))
        read(KeyedRecord(FleetRecords.stateKey(JobIdentifier("a")), "?".encodeToByteArray(), 1))
        assertEquals(JobState.Active, stateOf("a"))
    }

    @Test
    fun `states stay known when the table is filled from the summary instead of the records`() {
        table.followRecords()
        table.applyJob(jobRecord("a"))
        table.applyProgress(ProgressChange(JobIdentifier("a"), 0, ProgressPart(JobProgress(JobState.Active))), 1)
        table.recordPosition(4, reachedEnd = true)
        table.followSummary()
        assertEquals(JobState.Active, stateOf("a"))
        assertNull(table[JobIdentifier("a")]?.job)
        assertFalse(table.isComplete())
        assertEquals(0, table.readTo())
    }

    @Test
    fun `malformed states and positions are skipped`() {
        listOf("", "Active", "Active ", "Nothing queue").forEach { text ->
            assertNull(FleetRecords.decodeState(text.encodeToByteArray()), text)
        }
        listOf("", "-1", "1e9", "99999999999999999999").forEach { text ->
            assertNull(FleetRecords.decodePosition(text.encodeToByteArray()), text)
        }
    }

    /** Guards against a claim by an instance whose table has no records, since a read for callers came back late. */
    @Test
    fun `a read for callers that began before the table changed its source is ignored`() {
        read(position(5), state("a", JobState.Queued))
        val position = checkNotNull(table.readPosition())
        table.followRecords()
        assertFalse(table.applyNewJobs(position, listOf(jobRecord("b", 5)), 6))
        assertFalse(table.isComplete())
        assertNull(table.readPosition())
    }

    /** Guards against counts from a table that vouches with a read of the table before it. */
    @Test
    fun `what a read for callers has proved ends when the table begins to be filled anew`() {
        val asOf = ClockReading(now, now)

        fun readForCallers() = table.applyNewJobs(checkNotNull(table.readPosition()), emptyList(), 5, asOf)
        read(position(5))
        assertTrue(readForCallers())
        assertEquals(asOf, table.newJobsAsOf())
        read(position(5), snapshot = true)
        assertNull(table.newJobsAsOf())
        read()
        assertTrue(readForCallers())
        table.followRecords()
        assertNull(table.newJobsAsOf())
    }

    /** Guards against a job that counts as unknown while the changes made during a snapshot are missing. */
    @Test
    fun `a read for callers that began before a snapshot is ignored`() {
        read(position(5))
        val position = checkNotNull(table.readPosition())
        read(position(9), snapshot = true)
        assertFalse(table.applyNewJobs(position, emptyList(), 7))
        read()
        assertFalse(table.applyNewJobs(position, emptyList(), 7))
        assertTrue(table.applyNewJobs(checkNotNull(table.readPosition()), emptyList(), 12))
        assertEquals(12, table.readTo())
    }

    /** Guards against jobs that wait for ever because only the summary of an earlier owner names them. */
    @Test
    fun `jobs without a record are unknown once all records have been read`() {
        read(position(5), state("a", JobState.Queued), state("b", JobState.Queued))
        table.followRecords()
        table.applyJob(jobRecord("b"))
        table.dropAbsentJobs(setOf(JobIdentifier("b")), 5)
        assertNull(stateOf("a"))
        assertEquals(JobState.Queued, stateOf("b"))
    }

    /** Guards against a claim from a living owner whose summary was silent. */
    @Test
    fun `a snapshot of the progress is no proof that an owner is silent whose summary was`() {
        val policy = OwnershipPolicy()
        val ownership = OwnershipTable(policy)
        val owner = OwnershipRecord(3, "strong", "1", false, 1.5)
        val record = KeyedRecord(FleetRecords.OWNER_KEY, FleetRecords.encode(owner), 7)
        ownership.applySummary(FollowedRecords(listOf(record), snapshot = true, 8, reachedEnd = true), now)
        ownership.applySummary(FollowedRecords(emptyList(), snapshot = false, 8, reachedEnd = true), now + 3.seconds)
        ownership.applyRecords(
            FollowedRecords(listOf(record), snapshot = true, 901, reachedEnd = true),
            now + 12.seconds,
        )
        val view = checkNotNull(ownership.view())
        val weak = Candidate("weak", "1", 0.36)
        assertEquals(CandidateDecision.Follow, decideClaim(view, weak, policy, now + 12.seconds))
    }
}
