package dogwoodgrade.node

import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.platform.StoreLimits
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.FailedRuns
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobProgress
import dogwoodgrade.scheduling.JobState
import dogwoodgrade.scheduling.Repetition
import dogwoodgrade.scheduling.Resources
import dogwoodgrade.scheduling.StartedRun
import dogwoodgrade.scheduling.Step
import dogwoodgrade.scheduling.TaskPosition
import dogwoodgrade.scheduling.isWithinLimits
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests how the progress of a job is divided into records. */
class ProgressPartsTest {
    private val identifier = JobIdentifier("j".repeat(64))
    private val limits = StoreLimits()
    private val table = JobTable()
    private var offset = 0L

    private fun job(steps: List<Int>, occurrences: Int = 1): Job {
        val repetition = Repetition(occurrences, Instant.fromEpochSeconds(0), 1.seconds).takeIf { occurrences > 1 }
        val definition = steps.map { Step(it, Resources(100, 50)) }
        assertTrue(isWithinLimits(definition, repetition))
        val accepted = Instant.fromEpochSeconds(0)
        return Job(identifier, "queue", "pool", null, "", definition, repetition, accepted)
    }

    private fun positions(job: Job): List<TaskPosition> =
        (0..<job.occurrences).flatMap { occurrence ->
            job.steps.flatMapIndexed {
                step,
                definition,
                ->
                List(definition.count) { TaskPosition(occurrence, step, it) }
            }
        }

    /** Progress in which every task has as much to record as possible. */
    private fun largestProgress(job: Job): JobProgress {
        val positions = positions(job)
        // Quotation marks and control characters take two and six bytes in a record.
        val executor = ExecutorIdentifier("\"".repeat(128))
        val run = StartedRun(executor, Long.MAX_VALUE)
        val failures = FailedRuns.of(List(500) { Long.MAX_VALUE - it }.toSet(), Int.MAX_VALUE / 2)
        return JobProgress(
            JobState.Active,
            positions.toSet(),
            positions.associateWith { failures },
            positions.associateWith { "\u0001".repeat(1024) },
            positions.associateWith { run },
            positions.associateWith { run },
        )
    }

    private fun smallProgress(job: Job, tasks: Int = Int.MAX_VALUE): JobProgress {
        val run = StartedRun(ExecutorIdentifier("x"), 7)
        return JobProgress(JobState.Active, started = positions(job).take(tasks).associateWith { run })
    }

    /** Makes [progress] durable and returns the records that were written. */
    private fun record(job: Job, progress: JobProgress, limits: StoreLimits = this.limits): List<ProgressChange> {
        val changes = progressChanges(job, progress, table.progressParts(identifier), limits)
        changes.forEach { assertTrue(limits.admitsRecord(it.key, it.value), "${it.key}: ${it.value?.size} bytes") }
        // Read back as another instance does.
        changes.forEach { table.applyProgress(KeyedRecord(it.key, it.value, offset++)) }
        return changes
    }

    private fun read(): JobProgress? = table[identifier]?.progress

    private fun accept(job: Job) =
        table.applyJob(KeyedRecord(FleetRecords.jobKey(identifier), FleetRecords.encode(job), 0))

    /** Guards against a record that the store never takes, which keeps everything else from becoming durable. */
    @Test
    fun `each record of the largest jobs fits with all values at their largest`() {
        for (job in listOf(job(listOf(3_000)), job(List(256) { 11 }), job(listOf(1), 15_000), job(listOf(3_000), 5))) {
            val changes = progressChanges(job, largestProgress(job), emptyMap(), limits)
            for (change in changes) {
                assertTrue(limits.admitsRecord(change.key, change.value), "${change.key}: ${change.value?.size} bytes")
            }
            assertEquals(changes.size, changes.map { it.key }.toSet().size)
        }
    }

    @Test
    fun `progress that the store takes is one record`() {
        val job = job(listOf(3_000))
        accept(job)
        assertEquals(listOf(0), record(job, smallProgress(job)).map { it.number })
        assertEquals(smallProgress(job), read())
    }

    @Test
    fun `divided progress is read back, and only the parts that change are written`() {
        val job = job(listOf(40, 3), occurrences = 3)
        accept(job)
        val small = StoreLimits(largestRecord = 1_000)
        val progress = smallProgress(job)
        assertTrue(record(job, progress, small).size > 1)
        assertEquals(progress, read())
        val changed = progress.copy(
            started =
                progress.started + (TaskPosition(2, 1, 0) to StartedRun(ExecutorIdentifier("y"), 9)),
        )
        assertEquals(listOf(3, 0), record(job, changed, small).map { it.number })
        assertEquals(changed, read())
    }

    /** Guards against a first part that counts further ones which a crash has kept from becoming durable. */
    @Test
    fun `until the first part is written, the undivided progress counts`() {
        val job = job(listOf(100))
        accept(job)
        record(job, smallProgress(job, tasks = 5))
        val small = StoreLimits(largestRecord = 1_000)
        val changes = progressChanges(job, smallProgress(job), table.progressParts(identifier), small)
        assertEquals(0, changes.last().number)
        for (change in changes.dropLast(1)) {
            table.applyProgress(KeyedRecord(change.key, change.value, offset++))
            assertEquals(smallProgress(job, tasks = 5), read())
        }
        table.applyProgress(KeyedRecord(changes.last().key, changes.last().value, offset++))
        assertEquals(smallProgress(job), read())
    }

    /** Guards against completed tasks that seem open because their part was removed before the job was seen to end. */
    @Test
    fun `an ended job is one record, which becomes durable before its further parts are removed`() {
        val job = job(listOf(100))
        accept(job)
        val small = StoreLimits(largestRecord = 1_000)
        record(job, smallProgress(job), small)
        val lastRun = smallProgress(job).started.filterKeys { it.index == 99 }
        val stopping = JobProgress(JobState.Cancelled, started = lastRun)
        record(job, stopping, small)
        assertEquals(stopping, read())
        val changes = record(job, JobProgress(JobState.Cancelled), small)
        assertEquals(0, changes.first().number)
        assertTrue(changes.drop(1).isNotEmpty() && changes.drop(1).all { it.value == null })
        assertEquals(setOf(0), table.progressParts(identifier).keys)
        assertEquals(JobProgress(JobState.Cancelled), read())
    }

    /** Guards against a fleet that stays halted after an upgrade, because the log has progress of nearly full size. */
    @Test
    fun `undivided progress of an earlier version is divided when it no longer fits`() {
        val job = job(listOf(3_000))
        accept(job)
        val failures = positions(
            job,
        ).associateWith { FailedRuns(setOf(12_000_017L, 12_003_017L, 12_006_017L, 12_009_017L)) }
        val recorded = JobProgress(JobState.Active, failures = failures, started = smallProgress(job).started)
        record(job, recorded)
        val grown = recorded.copy(checkpoints = positions(job).associateWith { "00000bb87a21d94b" })
        assertTrue(record(job, grown).size > 1)
        assertEquals(grown, read())
    }

    @Test
    fun `odd numbers of parts are skipped`() {
        assertNull(FleetRecords.progressPartOf("progress/a/b"))
        assertNull(FleetRecords.progressPartOf("progress/a/0"))
        assertNull(FleetRecords.progressPartOf("progress/a/1/2"))
        assertNull(FleetRecords.decodeProgress("""{"s":"Active","p":-1}""".toByteArray()))
        val job = job(listOf(1))
        accept(job)
        val value = """{"s":"Active","p":2147483647}""".toByteArray()
        table.applyProgress(KeyedRecord(FleetRecords.progressKey(identifier), value, 0))
        assertEquals(JobProgress(JobState.Active), read())
    }
}
