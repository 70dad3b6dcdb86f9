package dogwoodgrade.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests jobs whose queue or team is removed from the configuration while they run. */
class RemovedQueueTest {
    private var now = Instant.fromEpochMilliseconds(1_000_000_000)
    private var runs = 0L
    private var ends = 0L
    private val forever = now + 1000.seconds
    private val report = sampleReport("x")
    private val configuration = onePoolConfiguration(attempts = 3, cap = 4_000)
    private val queue = configuration.queues.getValue("queue")
    private val job = JobIdentifier("a")

    private fun scheduler(configuration: SchedulingConfiguration): Scheduler {
        val scheduler = Scheduler(SchedulingPolicy()) { ++runs }
        scheduler.configure(configuration)
        scheduler.updateLiveList(listOf(report), now)
        list(scheduler)
        starts(scheduler)
        return scheduler
    }

    private fun list(scheduler: Scheduler, vararg ended: ListedEnd) {
        now += 20.milliseconds
        val listing = ExecutorListing(1, 100.seconds, emptyList(), ended.toList())
        scheduler.processListing(report.identifier, listing, now, now)
    }

    private fun starts(scheduler: Scheduler): List<Order.Start> {
        now += 50.milliseconds
        scheduler.plan(now, now, forever, emptySet())
        return scheduler.takeChanges(now)?.let { scheduler.confirmDurable(it, forever, now) }.orEmpty()
    }

    private fun removeQueue(scheduler: Scheduler) =
        scheduler.configure(configuration.copy(version = 2, queues = emptyMap()))

    /** Lets every run fail until nothing starts any more. Returns the number of runs. */
    private fun failAll(scheduler: Scheduler): Int {
        var started = 0
        repeat(20) {
            for (order in starts(scheduler)) {
                started++
                list(scheduler, ListedEnd(++ends, order.task, order.run, RunEnding.Failed, ""))
            }
        }
        return started
    }

    /** Guards against attempts without limit after the queue of a job was removed. */
    @Test
    fun `a job keeps the attempts of its queue when the queue is removed`() {
        val scheduler = scheduler(configuration)
        scheduler.accept(chainJob("a", now, 1).copy(queueSettings = queue), null, now, now)
        removeQueue(scheduler)
        assertEquals(3, failAll(scheduler))
        assertEquals(JobState.Failed, scheduler.state(job))
    }

    @Test
    fun `a job keeps the attempts with which it was accepted when its queue gets others`() {
        val scheduler = scheduler(configuration)
        scheduler.accept(chainJob("a", now, 1).copy(queueSettings = queue), null, now, now)
        val changed = mapOf("queue" to queue.copy(attempts = 9))
        scheduler.configure(configuration.copy(version = 2, queues = changed))
        assertEquals(3, failAll(scheduler))
    }

    @Test
    fun `a job of an earlier version takes the attempts from the configuration`() {
        val scheduler = scheduler(configuration)
        scheduler.accept(chainJob("a", now, 1), null, now, now)
        assertEquals(3, failAll(scheduler))
    }

    /** Guards against runs that no configuration permits. */
    @Test
    fun `a job of an earlier version whose queue is gone fails with the next failed run`() {
        val scheduler = scheduler(configuration)
        scheduler.accept(chainJob("a", now, 1), null, now, now)
        removeQueue(scheduler)
        assertEquals(1, failAll(scheduler))
        assertEquals(JobState.Failed, scheduler.state(job))
    }

    /** Guards against a log in which an earlier version has left a job with hundreds of failed runs of each task. */
    @Test
    fun `a job that has used up its attempts fails when a new owner loads it`() {
        val scheduler = scheduler(configuration)
        val failures = mapOf(TaskPosition(0, 0, 0) to FailedRuns.of((1L..346L).toSet()))
        val progress = JobProgress(JobState.Active, failures = failures)
        scheduler.accept(chainJob("a", now, 1).copy(queueSettings = queue), progress, now, now)
        assertEquals(JobState.Failed, scheduler.state(job))
        assertEquals(0, failAll(scheduler))
    }

    /** Guards against starts without a ticket, which executors reject for good. */
    @Test
    fun `a job of a removed queue still needs advice`() {
        val scheduler = scheduler(configuration)
        scheduler.accept(chainJob("a", now, 1).copy(queueSettings = queue.copy(needsAdvice = true)), null, now, now)
        removeQueue(scheduler)
        now += 50.milliseconds
        assertEquals(1, scheduler.plan(now, now, forever, emptySet()).advice.size)
    }

    @Test
    fun `jobs of a removed team stay within its last cap`() {
        val scheduler = scheduler(configuration)
        scheduler.configure(configuration.copy(version = 2, teams = emptyMap()))
        scheduler.accept(chainJob("a", now, 6), null, now, now)
        assertTrue(starts(scheduler).size in 1..3, "a cap of two tasks, and one beyond it")
    }
}
