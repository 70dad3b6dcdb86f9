package dogwoodgrade.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests single decisions of the scheduler. */
class SchedulerTest {
    private var now = Instant.fromEpochMilliseconds(1_000_000_000)
    private var runs = 0L
    private val forever = now + 1000.seconds

    private fun report(name: String, pool: String = "pool", incarnation: Long = 1, cores: Long = 16) =
        ExecutorReport(
            ExecutorIdentifier(name),
            incarnation,
            pool,
            "10.0.0.1:80",
            "zone-a",
            false,
            Resources(cores * 1000, 64_000),
            listOf("kind", "rack-1"),
        )

    private fun scheduler(vararg reports: ExecutorReport, cap: Long = 0, attempts: Int = 3): Scheduler {
        val scheduler = Scheduler(SchedulingPolicy()) { ++runs }
        scheduler.configure(onePoolConfiguration(attempts, cap))
        scheduler.updateLiveList(reports.toList(), now)
        reports.forEach { list(scheduler, it) }
        makeDurable(scheduler)
        return scheduler
    }

    private fun list(
        scheduler: Scheduler,
        report: ExecutorReport,
        running: List<ListedRun> = emptyList(),
        ended: List<ListedEnd> = emptyList(),
        clock: Duration = 100.seconds,
    ) {
        val listing = ExecutorListing(report.incarnation, clock, running, ended)
        scheduler.processListing(report.identifier, listing, now, now)
    }

    private fun makeDurable(scheduler: Scheduler): List<Order.Start> =
        scheduler.takeChanges(now)?.let { scheduler.confirmDurable(it, forever, now) }.orEmpty()

    /** Plans, makes the changes durable, and returns the start orders that may then be sent. */
    private fun starts(scheduler: Scheduler): List<Order.Start> {
        scheduler.plan(now, now, forever, emptySet())
        return makeDurable(scheduler)
    }

    private fun job(name: String, width: Int = 1, step: Step = Step(1, Resources(4_000, 1_000), 1.seconds)): Job =
        Job(JobIdentifier(name), "queue", "pool", "team", "payload", listOf(step.copy(count = width)), null, now)

    /** Guards against maintenance that ends a long-running task which started after its machine was found empty. */
    @Test
    fun `a machine is not reserved for maintenance while a long-running task may exist on it`() {
        val scheduler = scheduler(report("x"))
        val long = Step(1, Resources(4_000, 1_000), longRunning = true, unavailabilityBudget = 1)
        scheduler.accept(job("a", step = long), null, now, now)
        scheduler.plan(now, now, forever, emptySet())
        assertFalse(scheduler.reserveForMaintenance(ExecutorIdentifier("x")))
        scheduler.cancel(JobIdentifier("a"), now)
        makeDurable(scheduler)
        assertTrue(scheduler.reserveForMaintenance(ExecutorIdentifier("x")))
        scheduler.accept(job("b"), null, now, now)
        assertTrue(starts(scheduler).isEmpty(), "nothing starts on a reserved executor")
    }

    /**
     * Guards against an owner on a small machine that plans more starts than it sends: they are sent after their
     * deadline, every one is rejected, and the fleet comes to a standstill.
     */
    @Test
    fun `starts are planned only as fast as they are sent, long-running tasks first`() {
        val limit = SchedulingPolicy().maximumUnsentStarts
        val executors = Array(8) { report("x$it", cores = 400) }
        val scheduler = scheduler(*executors)
        scheduler.accept(job("batch", width = limit + 50), null, now, now)
        val long = Step(3, Resources(4_000, 1_000), longRunning = true)
        scheduler.accept(job("long", width = 3, step = long), null, now, now)
        scheduler.plan(now, now, forever, emptySet(), unsentStarts = limit)
        assertTrue(makeDurable(scheduler).isEmpty())
        assertEquals(
            Resources.None,
            scheduler
                .fleetView(now, now)
                .pools
                .getValue("pool")
                .waiting,
        )
        now += 8.milliseconds
        scheduler.plan(now, now, forever, emptySet(), unsentStarts = limit - 4)
        val started = makeDurable(scheduler).groupingBy { it.task.job.text }.eachCount()
        assertEquals(mapOf("long" to 3, "batch" to 1), started)
        now += 8.milliseconds
        scheduler.plan(now, now, forever, emptySet(), unsentStarts = 0)
        assertEquals(limit, makeDurable(scheduler).size)
    }

    /**
     * Guards against fresh runs that are stopped, and executors that are avoided for them, when the store loses
     * answers: a start waits for its durable record longer than a run may be without progress.
     */
    @Test
    fun `a run that became durable late does not count as stalled when it starts`() {
        val executor = report("x")
        val scheduler = scheduler(executor)
        scheduler.accept(job("a"), null, now, now)
        scheduler.plan(now, now, forever, emptySet())
        now += 3.seconds
        list(scheduler, executor, clock = 103.seconds)
        val start = makeDurable(scheduler).single()
        scheduler.processStartOutcome(start, StartOutcome.Started(), now)
        assertTrue(scheduler.plan(now + 40.milliseconds, now, forever, emptySet()).orders.isEmpty())
        now += 1.seconds
        list(scheduler, executor, listOf(ListedRun(start.task, start.run, "", 0, 0.0)), clock = 104.seconds)
        now += 2500.milliseconds
        assertTrue(scheduler.plan(now, now, forever, emptySet()).orders.isEmpty(), "no listing for 2.5 s")
        list(scheduler, executor, listOf(ListedRun(start.task, start.run, "", 0, 0.0)), clock = 106.seconds)
        val orders = scheduler.plan(now + 40.milliseconds, now, forever, emptySet()).orders
        assertEquals(StopReason.Stalled, assertIs<Order.Stop>(orders.single()).reason)
    }

    /** Guards against tasks that wait for the next look at the whole fleet although only their pool has changed. */
    @Test
    fun `what becomes ready or free between two full passes is planned at once`() {
        val executor = report("x", cores = 4)
        val scheduler = scheduler(executor)
        scheduler.plan(now, now, forever, emptySet())
        now += 8.milliseconds
        scheduler.accept(job("a"), null, now, now)
        scheduler.accept(job("b"), null, now, now)
        val first = starts(scheduler).single()
        now += 8.milliseconds
        list(scheduler, executor, ended = listOf(ListedEnd(1, first.task, first.run, RunEnding.Done, "")))
        assertEquals(
            "b",
            starts(scheduler)
                .single()
                .task.job.text,
        )
    }

    @Test
    fun `a start is ordered only once its run is durable`() {
        val scheduler = scheduler(report("x"))
        scheduler.accept(job("a"), null, now, now)
        assertTrue(scheduler.plan(now, now, forever, emptySet()).orders.isEmpty())
        val batch = checkNotNull(scheduler.takeChanges(now))
        val started = batch.progress.getValue(JobIdentifier("a")).started
        assertEquals(setOf(TaskPosition(0, 0, 0)), started.keys)
        assertEquals(1, scheduler.confirmDurable(batch, forever, now).size)
    }

    @Test
    fun `a job that is cancelled before its run is durable starts nothing`() {
        val scheduler = scheduler(report("x"))
        scheduler.accept(job("a"), null, now, now)
        scheduler.plan(now, now, forever, emptySet())
        scheduler.cancel(JobIdentifier("a"), now)
        assertTrue(makeDurable(scheduler).isEmpty())
        assertEquals(JobState.Cancelled, scheduler.state(JobIdentifier("a")))
    }

    @Test
    fun `failed runs that earlier owners recorded count, in whatever order new ones are listed`() {
        val first = report("x")
        val second = report("y")
        val scheduler = scheduler(first, second)
        val task = TaskName(JobIdentifier("a"), 0, 0, 0)
        val failures = mapOf(TaskPosition(0, 0, 0) to FailedRuns(setOf(5L)))
        scheduler.accept(job("a"), JobProgress(JobState.Active, failures = failures), now, now)
        list(scheduler, first, ended = listOf(ListedEnd(1, task, 9, RunEnding.Failed, "")))
        list(scheduler, second, ended = listOf(ListedEnd(1, task, 7, RunEnding.Failed, "")))
        assertEquals(JobState.Failed, scheduler.state(task.job))
    }

    @Test
    fun `a failed run that is listed again counts once`() {
        val executor = report("x")
        val scheduler = scheduler(executor)
        val task = TaskName(JobIdentifier("a"), 0, 0, 0)
        val failures = mapOf(TaskPosition(0, 0, 0) to FailedRuns(setOf(5L, 7L)))
        scheduler.accept(job("a"), JobProgress(JobState.Active, failures = failures), now, now)
        list(scheduler, executor, ended = listOf(ListedEnd(1, task, 7, RunEnding.Failed, "")))
        assertEquals(JobState.Active, scheduler.state(task.job))
    }

    @Test
    fun `a run of an earlier owner on a silent executor blocks its task until every grant has ended`() {
        val scheduler = Scheduler(SchedulingPolicy()) { ++runs }
        val silent = report("silent")
        val other = report("x")
        scheduler.startOwnership(now + 6.seconds, listOf(silent, other))
        val started = mapOf(TaskPosition(0, 0, 0) to StartedRun(silent.identifier, 3))
        scheduler.accept(job("a"), JobProgress(JobState.Active, started = started), now, now)
        scheduler.updateLiveList(listOf(other), now)
        list(scheduler, other)
        scheduler.markUnreachable(silent.identifier)
        makeDurable(scheduler)
        assertTrue(starts(scheduler).isEmpty())
        now += 7.seconds
        assertEquals(1, starts(scheduler).size)
    }

    @Test
    fun `a task is restarted at once if its executor does not list the run of an earlier owner`() {
        val scheduler = Scheduler(SchedulingPolicy()) { ++runs }
        val executor = report("x")
        scheduler.startOwnership(now + 6.seconds, listOf(executor))
        val started = mapOf(TaskPosition(0, 0, 0) to StartedRun(executor.identifier, 3))
        scheduler.accept(job("a"), JobProgress(JobState.Active, started = started), now, now)
        scheduler.updateLiveList(listOf(executor), now)
        list(scheduler, executor)
        makeDurable(scheduler)
        val order = starts(scheduler).single()
        assertTrue(order.run > 3, "run numbers rise: ${order.run}")
    }

    @Test
    fun `an unanswered start is not repeated elsewhere before its deadline on the executor's clock`() {
        val executor = report("x")
        val scheduler = scheduler(executor, report("y"))
        scheduler.accept(job("a"), null, now, now)
        val order = starts(scheduler).single()
        val used = if (order.executor == executor.identifier) executor else report("y")
        scheduler.processStartOutcome(order, StartOutcome.Unknown, now)
        list(scheduler, used, clock = order.deadline - 1.milliseconds)
        assertTrue(starts(scheduler).isEmpty())
        list(scheduler, used, clock = order.deadline + 1.milliseconds)
        assertEquals(1, starts(scheduler).size)
    }

    @Test
    fun `a team starts nothing beyond its cap`() {
        val scheduler = scheduler(report("x"), cap = 9_000)
        scheduler.accept(job("a", width = 4), null, now, now)
        assertEquals(2, starts(scheduler).size)
    }

    @Test
    fun `tasks of a step are spread over executors to keep the limit per executor`() {
        val scheduler = scheduler(report("x"), report("y"))
        val limitedStep = Step(1, Resources(1_000, 100), 1.seconds, tasksPerExecutor = 1)
        scheduler.accept(job("a", width = 3, step = limitedStep), null, now, now)
        assertEquals(setOf("x", "y"), starts(scheduler).map { it.executor.text }.toSet())
    }

    @Test
    fun `a long-running task that has waited for the preemption delay preempts batch tasks`() {
        val executor = report("x", cores = 8)
        val scheduler = scheduler(executor)
        scheduler.accept(job("batch", width = 2), null, now, now)
        val batch = starts(scheduler)
        assertEquals(2, batch.size)
        batch.forEach { scheduler.processStartOutcome(it, StartOutcome.Started(), now) }
        val serving = Step(1, Resources(4_000, 1_000), longRunning = true)
        scheduler.accept(job("serving", step = serving), null, now, now)
        scheduler.plan(now, now, forever, emptySet())
        now += 1.seconds
        val orders =
            scheduler.plan(now, now, forever, emptySet()).orders + scheduler.plan(now, now, forever, emptySet()).orders
        assertEquals(StopReason.Preempted, assertIs<Order.Stop>(orders.single()).reason)
    }

    @Test
    fun `a gang starts as a whole or not at all, with one run number`() {
        val scheduler = scheduler(report("x", cores = 8))
        val gang = Step(1, Resources(4_000, 1_000), 1.seconds, gang = true)
        scheduler.accept(job("too-wide", width = 3, step = gang), null, now, now)
        assertTrue(starts(scheduler).isEmpty())
        scheduler.accept(job("fits", width = 2, step = gang), null, now, now)
        val orders = starts(scheduler)
        assertEquals(2, orders.size)
        assertEquals(1, orders.map { it.run }.toSet().size)
    }

    @Test
    fun `nothing starts in evacuated zones`() {
        val scheduler = scheduler(report("x"))
        scheduler.accept(job("a"), null, now, now)
        scheduler.plan(now, now, forever, setOf("zone-a"))
        assertTrue(makeDurable(scheduler).isEmpty())
    }

    @Test
    fun `an owner whose lease has ended starts nothing`() {
        val scheduler = scheduler(report("x"))
        scheduler.accept(job("a"), null, now, now)
        scheduler.plan(now, now, now, emptySet())
        assertNull(scheduler.takeChanges(now))
    }

    @Test
    fun `the grant of an unreachable executor is not extended`() {
        val executor = report("x")
        val scheduler = scheduler(executor)
        scheduler.markUnreachable(executor.identifier)
        assertNull(checkNotNull(scheduler.grantRequest(executor.identifier, 5.seconds, forever, now)).deadline)
    }

    @Test
    fun `an executor on which several jobs fail in a row is avoided`() {
        val executor = report("x")
        val scheduler = scheduler(executor, attempts = 9)
        repeat(3) { scheduler.accept(job("a$it"), null, now, now) }
        val orders = starts(scheduler)
        orders.forEach { scheduler.processStartOutcome(it, StartOutcome.Started(), now) }
        val ends = orders.mapIndexed {
            index,
            order,
            ->
            ListedEnd(index + 1L, order.task, order.run, RunEnding.Failed, "")
        }
        list(scheduler, executor, ended = ends)
        now += 1.seconds
        assertTrue(starts(scheduler).isEmpty())
        now += 3.seconds
        assertEquals(3, starts(scheduler).size)
    }

    @Test
    fun `configurations that are not newer are ignored`() {
        val scheduler = scheduler(report("x"), cap = 4_000)
        scheduler.configure(SchedulingConfiguration(1))
        scheduler.accept(job("a", width = 2), null, now, now)
        assertEquals(1, starts(scheduler).size)
    }

    /** Guards against starts on idle executors of a disconnected zone, whose calls have not timed out yet. */
    @Test
    fun `nothing starts in a zone whose answers are overdue`() {
        val far = listOf("f1", "f2").map { report(it).copy(zone = "zone-f") }
        val near = report("n1", cores = 2)
        val scheduler = scheduler(far[0], far[1], near)
        scheduler.recordRequest(far[0].identifier, now)
        scheduler.recordRequest(far[1].identifier, now)
        now += 1200.milliseconds
        list(scheduler, near)
        scheduler.accept(chainJob("j", now, 1), null, now, now)
        scheduler.plan(now, now, forever, emptySet())
        assertEquals(listOf(near.identifier), makeDurable(scheduler).map { it.executor })
    }

    /** Guards against a zone that counts as silent because all its machines were moved to other pools. */
    @Test
    fun `an executor whose machine was moved stays removed while the live list still shows it`() {
        val moved = report("m1")
        val scheduler = scheduler(moved)
        scheduler.removeExecutor(moved.identifier, now)
        scheduler.updateLiveList(listOf(moved), now)
        assertEquals(emptyList(), scheduler.executors())
        scheduler.updateLiveList(listOf(moved.copy(incarnation = 2)), now)
        assertEquals(listOf(moved.identifier), scheduler.executors().map { it.identifier })
    }

    /** Guards against a job that no longer counts as waiting although none of its tasks has begun. */
    @Test
    fun `a job becomes active when an executor confirms a run, not when one is planned`() {
        val scheduler = scheduler(report("x"))
        scheduler.accept(job("a"), null, now, now)
        val order = starts(scheduler).single()
        assertEquals(JobState.Queued, scheduler.state(JobIdentifier("a")))
        scheduler.processStartOutcome(order, StartOutcome.Rejected(StartRejection.Capacity), now)
        assertEquals(JobState.Queued, scheduler.state(JobIdentifier("a")))
        now += 1.seconds
        val retried = starts(scheduler).single()
        scheduler.processStartOutcome(retried, StartOutcome.Started(), now)
        assertEquals(JobState.Active, scheduler.state(JobIdentifier("a")))
        assertEquals(
            JobState.Active,
            scheduler
                .takeChanges(now)
                ?.progress
                ?.getValue(JobIdentifier("a"))
                ?.state,
        )
    }

    /** Guards against a new owner that shows a job as waiting although an earlier owner has started it. */
    @Test
    fun `a job whose planned run is found on its executor becomes active`() {
        val scheduler = scheduler(report("x"))
        val started = mapOf(TaskPosition(0, 0, 0) to StartedRun(ExecutorIdentifier("x"), 7))
        scheduler.accept(job("a"), JobProgress(JobState.Queued, started = started), now, now)
        assertEquals(JobState.Queued, scheduler.state(JobIdentifier("a")))
        val run = ListedRun(TaskName(JobIdentifier("a"), 0, 0, 0), 7, "", 10, 0.0)
        list(scheduler, report("x"), running = listOf(run))
        assertEquals(JobState.Active, scheduler.state(JobIdentifier("a")))
    }
}
