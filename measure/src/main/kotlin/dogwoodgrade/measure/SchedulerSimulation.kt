package dogwoodgrade.measure

import com.sun.management.ThreadMXBean
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.ExecutorListing
import dogwoodgrade.scheduling.ExecutorReport
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobQueueSettings
import dogwoodgrade.scheduling.ListedEnd
import dogwoodgrade.scheduling.ListedRun
import dogwoodgrade.scheduling.Order
import dogwoodgrade.scheduling.PoolSettings
import dogwoodgrade.scheduling.Resources
import dogwoodgrade.scheduling.RunEnding
import dogwoodgrade.scheduling.Scheduler
import dogwoodgrade.scheduling.SchedulingConfiguration
import dogwoodgrade.scheduling.SchedulingPolicy
import dogwoodgrade.scheduling.StartOutcome
import dogwoodgrade.scheduling.Step
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time between two planning passes, as in an owner under load. */
private val PASS_INTERVAL: Duration = 8.milliseconds

/** Time between two updates of the live list. */
private val LIVE_LIST_INTERVAL: Duration = 150.milliseconds

/** Time between two reports of an executor in the live list. */
private val REPORT_INTERVAL: Duration = 1500.milliseconds

/** Longest time between two listings of an executor on which something runs. */
private val LISTING_INTERVAL: Duration = 700.milliseconds

private const val POOLS = 5
private const val TASKS_PER_STEP = 8
private const val STEPS_PER_JOB = 2

/** Tasks that arrive per second and executor. */
private const val TASKS_PER_EXECUTOR = 3.0

/** Costs of one kind of call: processor time and allocated bytes of all calls, and the longest call. */
internal class CallCost {
    var count = 0L
        private set
    var nanoseconds = 0L
        private set
    var bytes = 0L
        private set
    var longestNanoseconds = 0L
        private set

    fun add(nanoseconds: Long, bytes: Long) {
        count++
        this.nanoseconds += nanoseconds
        this.bytes += bytes
        longestNanoseconds = maxOf(longestNanoseconds, nanoseconds)
    }
}

/**
 * Drives a [Scheduler] in virtual time with executors that answer at once, and measures its calls.
 *
 * Batch jobs arrive in proportion to the number of executors, spread over several pools. Each end of a run causes one
 * listing, as in an owner that waits for ends.
 */
internal class SchedulerSimulation(
    private val executorCount: Int,
    seed: Long,
) {
    private class Run(
        val order: Order.Start,
        val endsAt: Instant,
    )

    private class SimulatedExecutor(
        val report: ExecutorReport,
    ) {
        val runs = mutableListOf<Run>()
        val unacknowledged = mutableListOf<ListedEnd>()
        var listedAt = Instant.fromEpochMilliseconds(0)
        var nextEnd = 1L
    }

    private val random = Random(seed)
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    private val thread = Thread.currentThread().id
    private var now = instantAt(0)
    private val leaseEnd = now + 100_000.seconds
    private var runNumber = 0L
    private var jobNumber = 0
    private var jobDebt = 0.0
    private val scheduler = Scheduler(SchedulingPolicy()) { ++runNumber }
    private val executors =
        List(executorCount) { SimulatedExecutor(reportOf(it)) }.associateBy { it.report.identifier }

    val accepts = CallCost()
    val passes = CallCost()
    val commits = CallCost()
    val startOutcomes = CallCost()
    val listings = CallCost()
    val liveLists = CallCost()
    var starts = 0L
        private set
    var ends = 0L
        private set
    var liveListRecords = 0L
        private set

    private fun reportOf(index: Int): ExecutorReport =
        ExecutorReport(
            ExecutorIdentifier("executor-$index"),
            1,
            "pool-${index % POOLS}",
            "10.0.0.1:80",
            "zone-${index / POOLS % 4}",
            false,
            Resources(64_000, 131_072),
            listOf("kind", "rack-${index / 12}"),
        )

    /** Runs for [length] of virtual time, and measures it if [measured]. */
    fun run(length: Duration, measured: Boolean) {
        val end = now + length
        while (now < end) {
            step(measured)
            now += PASS_INTERVAL
        }
    }

    /** Makes the executors known. */
    fun start() {
        val queues =
            List(POOLS) { "queue-$it" }.mapIndexed { number, name ->
                JobQueueSettings(name, "pool-$number", 0, 3, 3.0, 600.milliseconds, false)
            }
        scheduler.configure(
            SchedulingConfiguration(
                1,
                queues.associateBy { it.name },
                List(POOLS) { PoolSettings("pool-$it", false) }.associateBy { it.name },
            ),
        )
        scheduler.startOwnership(now, emptyList())
        scheduler.updateLiveList(executors.values.map { it.report }, now)
        executors.values.forEach { list(it, false) }
    }

    private fun step(measured: Boolean) {
        submitJobs(measured)
        val sinceStart = (now - instantAt(0)).inWholeMilliseconds
        if (sinceStart % LIVE_LIST_INTERVAL.inWholeMilliseconds < PASS_INTERVAL.inWholeMilliseconds) {
            updateLiveList(measured)
        }
        for (executor in executors.values) {
            val due = executor.runs.any { it.endsAt <= now } || now - executor.listedAt >= LISTING_INTERVAL
            if (due) list(executor, measured)
        }
        time(passes, measured) { scheduler.plan(now, now, leaseEnd, emptySet()) }
        val orders =
            time(commits, measured) {
                scheduler.takeChanges(now)?.let { scheduler.confirmDurable(it, leaseEnd, now) }
            }
        orders.orEmpty().forEach { execute(it, measured) }
    }

    private fun submitJobs(measured: Boolean) {
        jobDebt += executorCount * TASKS_PER_EXECUTOR / (TASKS_PER_STEP * STEPS_PER_JOB) * (PASS_INTERVAL / 1.seconds)
        while (jobDebt >= 1) {
            jobDebt -= 1
            val pool = random.nextInt(POOLS)
            val job = jobOf("job-${jobNumber++}", pool)
            time(accepts, measured) { scheduler.accept(job, null, now, now) }
        }
    }

    private fun jobOf(name: String, pool: Int): Job {
        val steps =
            List(STEPS_PER_JOB) { number ->
                val dependencies = if (number == 0) emptyList() else listOf(number - 1)
                Step(TASKS_PER_STEP, Resources(4_000, 4_000), 640.milliseconds, dependencies)
            }
        return Job(JobIdentifier(name), "queue-$pool", "pool-$pool", null, "payload", steps, null, now)
    }

    private fun updateLiveList(measured: Boolean) {
        val reports = executors.values.map { it.report }
        time(liveLists, measured) { scheduler.updateLiveList(reports, now) }
        if (measured) liveListRecords += (executorCount * (LIVE_LIST_INTERVAL / REPORT_INTERVAL)).toLong()
    }

    private fun execute(order: Order.Start, measured: Boolean) {
        val executor = executors.getValue(order.executor)
        executor.runs += Run(order, now + 640.milliseconds * random.nextDouble(0.5, 1.5))
        if (measured) starts++
        time(startOutcomes, measured) { scheduler.processStartOutcome(order, StartOutcome.Started(), now) }
    }

    private fun list(executor: SimulatedExecutor, measured: Boolean) {
        executor.listedAt = now
        val ended = executor.runs.filter { it.endsAt <= now }
        executor.runs -= ended.toSet()
        for (run in ended) {
            val end = ListedEnd(executor.nextEnd++, run.order.task, run.order.run, RunEnding.Done, "")
            executor.unacknowledged += end
        }
        if (measured) ends += ended.size
        val running = executor.runs.map { ListedRun(it.order.task, it.order.run, "", percent(it), 0.0) }
        val identifier = executor.report.identifier
        time(listings, measured) {
            val request = scheduler.grantRequest(identifier, 4.seconds, leaseEnd, now) ?: return@time
            scheduler.recordRequest(identifier, now)
            val sent = request.contentFor(request.report.incarnation, Duration.ZERO)
            executor.unacknowledged.removeIf { it.number <= sent.acknowledgedEnd }
            val listing =
                ExecutorListing(1, (now - instantAt(0)), running, executor.unacknowledged.toList())
            scheduler.processListing(identifier, listing, now, now, sent)
        }
    }

    private fun percent(run: Run): Int = (100 - (run.endsAt - now).inWholeMilliseconds / 10).toInt().coerceIn(0, 99)

    private fun <T> time(cost: CallCost, measured: Boolean, call: () -> T): T {
        if (!measured) return call()
        val bytes = threads.getThreadAllocatedBytes(thread)
        val startedAt = System.nanoTime()
        val result = call()
        cost.add(System.nanoTime() - startedAt, threads.getThreadAllocatedBytes(thread) - bytes)
        return result
    }
}
