package dogwoodgrade.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests listings whose list of ends is full, so that further ends may exist. */
class IncompleteEndsTest {
    private var now = Instant.fromEpochMilliseconds(1_000_000_000)
    private var runs = 0L
    private val forever = now + 1000.seconds
    private val report = sampleReport("x")
    private val scheduler = Scheduler(SchedulingPolicy()) { ++runs }
    private val events = mutableListOf<SchedulerEvent>()
    private val stops = mutableListOf<Order.Stop>()

    init {
        scheduler.configure(onePoolConfiguration(attempts = 3))
    }

    private fun list(
        running: List<ListedRun> = emptyList(),
        ended: List<ListedEnd> = emptyList(),
        endsComplete: Boolean = true,
    ) {
        now += 20.milliseconds
        val listing = ExecutorListing(1, 100.seconds, running, ended, endsComplete)
        scheduler.processListing(report.identifier, listing, now, now)
    }

    private fun starts(): List<Order.Start> {
        now += 50.milliseconds
        val plan = scheduler.plan(now, now, forever, emptySet())
        events += plan.events
        stops += plan.orders.filterIsInstance<Order.Stop>()
        return scheduler.takeChanges(now)?.let { scheduler.confirmDurable(it, forever, now) }.orEmpty()
    }

    private fun startTwo(): List<Order.Start> {
        scheduler.updateLiveList(listOf(report), now)
        list()
        starts()
        scheduler.accept(chainJob("a", now, 2), null, now, now)
        val orders = starts()
        orders.forEach { scheduler.processStartOutcome(it, StartOutcome.Started(1), now) }
        return orders
    }

    private fun done(number: Long, order: Order.Start) =
        ListedEnd(number, order.task, order.run, RunEnding.Done, "")

    /** Guards against tasks that start again after they have completed, because a full list lacks their end. */
    @Test
    fun `a run that a full list of ends lacks is not started again`() {
        val (first, second) = startTwo()
        list(ended = listOf(done(1, first)), endsComplete = false)
        assertEquals(emptyList(), starts())
        list(ended = listOf(done(2, second)))
        assertEquals(emptyList(), starts())
        assertEquals(JobState.Completed, scheduler.state(JobIdentifier("a")))
    }

    @Test
    fun `a run that a complete list lacks is started again`() {
        val (first, second) = startTwo()
        list(ended = listOf(done(1, first)))
        assertEquals(listOf(second.task), starts().map { it.task })
    }

    /** Guards against a new owner that takes an inherited run for lost while the executor lists other ends. */
    @Test
    fun `an inherited run that a full list of ends lacks is not started again`() {
        scheduler.startOwnership(now, listOf(report))
        val task = TaskName(JobIdentifier("a"), 0, 0, 0)
        val started = mapOf(task.position to StartedRun(report.identifier, 7))
        scheduler.accept(chainJob("a", now, 1), JobProgress(JobState.Active, started = started), now, now)
        scheduler.updateLiveList(listOf(report), now)
        list(endsComplete = false)
        assertEquals(emptyList(), starts())
        list(ended = listOf(ListedEnd(1, task, 7, RunEnding.Done, "")))
        assertEquals(JobState.Completed, scheduler.state(JobIdentifier("a")))
    }

    /** Guards against an executor that is avoided because its runs have ended without being listed. */
    @Test
    fun `a run that may have ended does not count as stalled`() {
        val orders = startTwo()
        list(running = orders.map { ListedRun(it.task, it.run, "", 50, 0.0) })
        repeat(200) {
            list(endsComplete = false)
            assertEquals(emptyList(), starts())
        }
        assertEquals(emptyList(), stops)
    }

    /** Guards against runs that lapse, or never get room, while ends wait to be acknowledged. */
    @Test
    fun `the grant is extended and ends are acknowledged while the list of ends is full`() {
        val (first) = startTwo()
        list(ended = listOf(done(1, first)), endsComplete = false)
        starts()
        val request = assertNotNull(scheduler.grantRequest(report.identifier, 4.seconds, forever, now))
        assertEquals(1, request.durableEnd)
        assertNotNull(request.deadline)
    }
}
