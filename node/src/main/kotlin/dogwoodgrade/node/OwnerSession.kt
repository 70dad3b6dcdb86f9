package dogwoodgrade.node

import dogwoodgrade.ownership.OwnershipPolicy
import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.platform.ExecutorClient
import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.platform.NodeSettings
import dogwoodgrade.platform.ReadOutcome
import dogwoodgrade.platform.Topic
import dogwoodgrade.platform.executorKey
import dogwoodgrade.platform.readExecutorReport
import dogwoodgrade.scheduling.AdviceRequest
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.ExecutorReport
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.Order
import dogwoodgrade.scheduling.Scheduler
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/** Longest pause between two plans; times of jobs and expiries pass without an event. */
private val planInterval: Duration = 100.milliseconds

/** Shortest pause between two plans, in which events gather. */
private val planGap: Duration = 8.milliseconds

/** Pause between two reads of the live list; each executor reports every second or so. */
private val listPause: Duration = 150.milliseconds

/** How long a grant lasts: longer than a takeover, short enough to start elsewhere soon after a loss. */
private val grantLength: Duration = 4000.milliseconds

/** Time for dropping one record; a job that is not dropped is dropped by a later owner. */
private val dropLimit: Duration = 3000.milliseconds

/** Room for the runs of one epoch in the run numbers. */
private const val RUNS_PER_EPOCH = 1_000_000L

/**
 * One term of ownership: schedules the fleet until another owner takes over or this process stops.
 *
 * @param settledAt when every grant of the previous owner has ended
 */
internal class OwnerSession(
    private val node: NodeParts,
    private val settings: NodeSettings,
    private val record: OwnershipRecord,
    private val policy: OwnershipPolicy,
    private val settledAt: Instant,
    claimSequence: Long,
) {
    private val clock = node.clock
    private var runs = record.epoch * RUNS_PER_EPOCH
    private val fleet =
        FleetTable(Scheduler(node.scheduling.copy(restorationTime = settings.restorationTime)) { ++runs })
    private val forgotten = Channel<List<JobIdentifier>>(Channel.UNLIMITED)
    private val dirty = Channel<Unit>(Channel.CONFLATED)
    private val watchers = ConcurrentHashMap<ExecutorIdentifier, ExecutorWatcher>()
    private val executors = ExecutorClient(node.vertx)
    private val writer =
        OwnerWriter(
            node.store,
            fleet,
            node.jobs,
            node.ownership,
            record,
            policy,
            clock,
            node.contact,
            claimSequence,
            { forgotten.trySend(it) },
            { onDurable(it) },
        )
    private val workers =
        OrderWorkers(executors, fleet, record.epoch, clock, node.metrics) { changed(it) }
    private val reports = mutableMapOf<ExecutorIdentifier, ExecutorReport>()
    private val machines = MachineLoop(node, settings, fleet, record.epoch, writer::record)

    /** Stops giving orders and lets another entry instance take over at once. */
    fun resign() = writer.resign()

    /** Owns the fleet; returns why the term ended. */
    suspend fun run(): String =
        coroutineScope {
            fleet.withSchedule { it.begin(settledAt, node.executors.all()) }
            val work = launch { work() }
            val reason = writer.run()
            work.cancel()
            reason
        }

    private suspend fun work(): Unit =
        coroutineScope {
            catchUp()
            loadJobs()
            workers.start(this)
            val list =
                TopicFollower(node.store, Topic.Executors, clock, { listPause }, node.contact) { listRead(it, this) }
            launch { list.run() }
            launch { machines.run() }
            launch { dropForgotten() }
            plan(this)
        }

    /** Drops jobs from the log. A job without its progress would run again, so that its own record goes first. */
    private suspend fun dropForgotten() {
        for (jobs in forgotten) {
            for (job in jobs) {
                val dropped = node.intake.append(FleetRecords.jobKey(job), null, dropLimit) == IntakeOutcome.Durable
                logger.info { "owner: forgot job=$job dropped=$dropped" }
                if (!dropped) continue
                node.intake.append(FleetRecords.cancellationKey(job), null, dropLimit)
                writer.record(FleetRecords.progressKey(job), null)
            }
        }
    }

    /** Reads until the job table has what was appended before the takeover. */
    private suspend fun catchUp() {
        while (true) {
            val from = node.jobs.readTo()
            val outcome = node.store.read(Topic.Jobs, from, Duration.ZERO)
            if (outcome is ReadOutcome.Records &&
                outcome.records.isEmpty() &&
                outcome.endOffset <= node.jobs.readTo()
            ) {
                return
            }
            delay(planGap)
        }
    }

    private fun loadJobs() {
        val now = clock.now()
        // The callback comes first: a job that is read meanwhile waits for the lock, and is ignored if it is known.
        node.onJobRecords = { identifiers -> jobsRead(identifiers) }
        fleet.withSchedule { schedule ->
            configure(schedule)
            val unfinished = node.jobs.unfinished()
            for ((identifier, job) in unfinished) {
                schedule.accept(checkNotNull(job.job), job.progress, now, clock.wall())
                if (job.cancelled) schedule.cancel(identifier, now)
            }
            val ended = node.jobs.ended()
            schedule.rememberEnded(ended, now)
            logger.info { "owner: loaded unfinished=${unfinished.size} ended=${ended.size}" }
        }
    }

    private fun configure(schedule: Scheduler) {
        node.configuration.current()?.let { schedule.configure(it.scheduling) }
    }

    /** Adds jobs and cancellations that were read after the takeover. */
    private fun jobsRead(identifiers: Set<JobIdentifier>) {
        val now = clock.now()
        fleet.withSchedule { schedule ->
            configure(schedule)
            for (identifier in identifiers) {
                val known = node.jobs[identifier] ?: continue
                schedule.accept(checkNotNull(known.job), known.progress, now, clock.wall())
                if (known.cancelled) schedule.cancel(identifier, now)
            }
        }
        changed()
    }

    private fun listRead(followed: FollowedRecords, scope: CoroutineScope) {
        if (followed.snapshot) reports.clear()
        followed.records.forEach { applyReport(it) }
        val now = clock.now()
        fleet.withSchedule { it.executorsReported(reports.values.toList(), now) }
        for (identifier in fleet.withSchedule { schedule -> schedule.executors().map { it.identifier } }) {
            watchers.computeIfAbsent(identifier) { watch(it, scope) }
        }
        changed()
    }

    private fun applyReport(record: KeyedRecord) {
        val value = record.value
        if (value == null) {
            reports -= executorKey(record.key)
            return
        }
        readExecutorReport(record.key, value)?.let { reports[it.identifier] = it }
    }

    private fun watch(identifier: ExecutorIdentifier, scope: CoroutineScope): ExecutorWatcher {
        val grant = minOf(grantLength, settings.longestGrant)
        val watcher =
            ExecutorWatcher(identifier, executors, fleet, node.ownership, record.epoch, grant, clock, { changed() }) {
                node.ownership.suspended()
            }
        scope.launch {
            watcher.run()
            watchers -= identifier
        }
        return watcher
    }

    private fun changed() {
        dirty.trySend(Unit)
        writer.notifyChanged()
    }

    private fun changed(executor: ExecutorIdentifier) {
        watchers[executor]?.wake()
        changed()
    }

    private fun onDurable(starts: List<Order.Start>) {
        if (starts.isNotEmpty()) send(starts)
        watchers.values.forEach { it.wake() }
    }

    private fun send(orders: List<Order>) {
        val known = fleet.withSchedule { schedule -> schedule.executors().associateBy { it.identifier } }
        for (order in orders) known[order.executor]?.let { workers.submit(it, order) }
    }

    private suspend fun plan(scope: CoroutineScope) {
        while (true) {
            withTimeoutOrNull(planInterval) { dirty.receive() }
            if (clock.suspended()) {
                logger.warn { "owner: suspended, no orders before the next renewal epoch=${record.epoch}" }
                node.ownership.suspended()
                writer.notifyChanged()
            }
            val startedAt = clock.now()
            val evacuated = node.configuration.evacuatedZones()
            val plan =
                fleet.withSchedule { schedule ->
                    configure(schedule)
                    schedule.plan(startedAt, clock.wall(), node.ownership.ordersUntil(), evacuated)
                }
            node.metrics.planned(clock.now() - startedAt)
            plan.events.forEach { logger.info { "schedule: ${it.text} job=${it.job} executor=${it.executor}" } }
            if (plan.orders.isNotEmpty()) send(plan.orders)
            writer.notifyChanged()
            plan.probes.forEach { watchers[it]?.wake() }
            plan.advice.forEach { request -> scope.launch { advise(request) } }
            delay(planGap)
        }
    }

    private suspend fun advise(request: AdviceRequest) {
        val client = node.advice ?: return
        val sentAt = clock.now()
        val advice = client.advise(request) ?: return
        logger.info {
            "advice: job=${request.job} step=${request.step} asked=${request.executors.size} " +
                "allowed=${advice.tickets.size}"
        }
        fleet.withSchedule { it.advised(request, advice.tickets, sentAt + advice.validFor) }
        changed()
    }
}
