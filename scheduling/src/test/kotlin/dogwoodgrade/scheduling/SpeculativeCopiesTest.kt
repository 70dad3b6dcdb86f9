package dogwoodgrade.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests tasks of speculative steps whose executor stops answering. */
class SpeculativeCopiesTest {
    private var now = Instant.fromEpochMilliseconds(1_000_000_000)
    private var runs = 0L
    private val forever = now + 1000.seconds
    private val first = report("x1")
    private val second = report("x2")
    private val scheduler = scheduler()

    private fun report(name: String) =
        ExecutorReport(
            ExecutorIdentifier(name),
            1,
            "pool",
            "10.0.0.1:80",
            "zone-$name",
            false,
            Resources(2_000, 64_000),
            listOf("kind", "rack-1"),
        )

    private fun scheduler(cap: Long = 0): Scheduler {
        val scheduler = Scheduler(SchedulingPolicy()) { ++runs }
        scheduler.configure(onePoolConfiguration(attempts = 3, cap = cap))
        scheduler.updateLiveList(listOf(first, second), now)
        listOf(first, second).forEach { list(scheduler, it) }
        scheduler.takeChanges(now)?.let { scheduler.confirmDurable(it, forever, now) }
        return scheduler
    }

    private fun list(scheduler: Scheduler, report: ExecutorReport, vararg running: ListedRun) =
        list(scheduler, report, running.toList(), emptyList())

    private fun list(
        scheduler: Scheduler,
        report: ExecutorReport,
        running: List<ListedRun>,
        ended: List<ListedEnd>,
        clock: Duration = 100.seconds,
    ) = scheduler.processListing(report.identifier, ExecutorListing(1, clock, running, ended), now, now)

    private fun submit(scheduler: Scheduler, speculative: Boolean) {
        val job = chainJob("j", now, 1)
        scheduler.accept(job.copy(steps = job.steps.map { it.copy(speculative = speculative) }), null, now, now)
    }

    private fun starts(scheduler: Scheduler): List<Order.Start> {
        scheduler.plan(now, now, forever, emptySet())
        return scheduler.takeChanges(now)?.let { scheduler.confirmDurable(it, forever, now) }.orEmpty()
    }

    private fun stops(): List<Order.Stop> =
        scheduler.plan(now, now, forever, emptySet()).orders.filterIsInstance<Order.Stop>()

    /** Starts a job, after which its executor stops answering. */
    private fun startThenStopAnswering(scheduler: Scheduler, speculative: Boolean = true): Order.Start {
        submit(scheduler, speculative)
        val start = starts(scheduler).single()
        scheduler.processStartOutcome(start, StartOutcome.Started(), now)
        scheduler.recordRequest(start.executor, now)
        now += 1.seconds
        list(scheduler, otherExecutor(start))
        return start
    }

    private fun otherExecutor(start: Order.Start) = if (start.executor == first.identifier) second else first

    private fun sameExecutor(start: Order.Start) = if (start.executor == first.identifier) first else second

    @Test
    fun `a copy starts elsewhere once the answer is overdue`() {
        val start = startThenStopAnswering(scheduler)
        val copy = starts(scheduler).single()
        assertEquals(otherExecutor(start).identifier, copy.executor)
        assertTrue(copy.run > start.run)
    }

    /** Guards against two runs at a time of a task that must not run twice. */
    @Test
    fun `a task that is not speculative is not copied`() {
        startThenStopAnswering(scheduler, speculative = false)
        assertEquals(emptyList(), starts(scheduler))
    }

    @Test
    fun `the first of two copies completes the task and the other is stopped`() {
        val start = startThenStopAnswering(scheduler)
        val copy = starts(scheduler).single()
        scheduler.processStartOutcome(copy, StartOutcome.Started(), now)
        now += 100.milliseconds
        list(
            scheduler,
            sameExecutor(start),
            emptyList(),
            listOf(ListedEnd(1, start.task, start.run, RunEnding.Done, "")),
        )
        assertEquals(JobState.Completed, scheduler.state(start.task.job))
        val stop = stops().single()
        assertEquals(copy.executor, stop.executor)
    }

    @Test
    fun `the abandoned run is stopped when its executor answers again`() {
        val start = startThenStopAnswering(scheduler)
        val copy = starts(scheduler).single()
        scheduler.processStartOutcome(copy, StartOutcome.Started(), now)
        now += 100.milliseconds
        list(scheduler, sameExecutor(start), ListedRun(start.task, start.run, "", 50, 0.0))
        val stop = stops().single()
        assertEquals(start.run, stop.run)
    }

    /** Guards against a team that exceeds its cap because the abandoned run may still exist. */
    @Test
    fun `an abandoned run counts against the cap until its executor answers`() {
        val capped = scheduler(cap = 2_000)
        val start = startThenStopAnswering(capped)
        assertEquals(emptyList(), starts(capped))
        now += 100.milliseconds
        list(capped, sameExecutor(start))
        assertEquals(1, starts(capped).size)
    }

    /** Guards against a new owner that does not know that the abandoned run may still exist. */
    @Test
    fun `an abandoned run is durable and counts for the next owner`() {
        val start = startThenStopAnswering(scheduler)
        scheduler.plan(now, now, forever, emptySet())
        val progress = checkNotNull(scheduler.takeChanges(now)).progress.getValue(start.task.job)
        assertEquals(StartedRun(start.executor, start.run), progress.abandoned[TaskPosition(0, 0, 0)])
        assertTrue(progress.started.getValue(TaskPosition(0, 0, 0)).run > start.run)
    }

    /** Guards against two tasks of a step that allows one per executor, one of them in a run that a copy replaced. */
    @Test
    fun `a replaced run that may still exist counts against the tasks of its step on one executor`() {
        val job = chainJob("j", now, 1)
        val step = job.steps.single().copy(
            count = 3,
            request = Resources(500, 100),
            tasksPerExecutor = 1,
            speculative = true,
        )
        scheduler.accept(job.copy(steps = listOf(step)), null, now, now)
        val begun = starts(scheduler)
        begun.forEach { scheduler.processStartOutcome(it, StartOutcome.Started(), now) }
        val (silent, answering) = begun.sortedBy { it.executor.text }
        scheduler.recordRequest(silent.executor, now)
        now += 1.seconds
        val done = listOf(ListedEnd(1, answering.task, answering.run, RunEnding.Done, ""))
        list(scheduler, otherExecutor(silent), emptyList(), done)
        assertEquals(listOf(answering.executor), starts(scheduler).map { it.executor })
        val existing = ListedRun(silent.task, silent.run, "", 10, 0.0)
        now += 100.milliseconds
        list(scheduler, sameExecutor(silent), existing)
        assertEquals(emptyList(), starts(scheduler).map { it.task }, "the executor that answers again has a run")
    }
}
