package dogwoodgrade.node

import dogwoodgrade.ownership.OwnershipPolicy
import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.platform.ExecutorClient
import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.platform.NodeSettings
import dogwoodgrade.platform.ReadOutcome
import dogwoodgrade.platform.Topic
import dogwoodgrade.platform.executorOfKey
import dogwoodgrade.platform.readExecutorReport
import dogwoodgrade.scheduling.AdviceRequest
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.ExecutorReport
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.Order
import dogwoodgrade.scheduling.Scheduler
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
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

/** Longest pause between two plans; start times of jobs and expiries come without an event. */
private val LONGEST_PLAN_PAUSE: Duration = 100.milliseconds

/** Shortest pause between two plans, in which events accumulate. */
private val SHORTEST_PLAN_PAUSE: Duration = 8.milliseconds

/** Pause between two reads of the live list; each executor reports about once per second. */
private val LIVE_LIST_READ_PAUSE: Duration = 150.milliseconds

/**
 * Duration of a grant. It is longer than a takeover, but short, because lost runs start elsewhere only after it has
 * ended.
 */
private val GRANT_DURATION: Duration = 4000.milliseconds

/** Time limit for removing one record; a job that is not removed is removed by a later owner. */
private val JOB_REMOVAL_TIME_LIMIT: Duration = 3000.milliseconds

/** Number of run numbers that are reserved for each epoch. */
private const val RUNS_PER_EPOCH = 1_000_000L

/**
 * One term of ownership: schedules the fleet until another owner takes over or this process stops.
 *
 * @param settledAt when every grant of the previous owner has ended
 */
internal class OwnerSession(
    private val node: NodeComponents,
    private val settings: NodeSettings,
    private val record: OwnershipRecord,
    private val policy: OwnershipPolicy,
    private val settledAt: Instant,
    claimSequence: Long,
) {
    /** Epoch of this term. */
    val epoch: Long = record.epoch
    private val clock = node.clock
    private var lastRunNumber = record.epoch * RUNS_PER_EPOCH
    private val fleet =
        FleetTable(
            Scheduler(
                node.scheduling.copy(
                    restorationTime = settings.restorationTime,
                    longestGrant = settings.longestGrant,
                ),
            ) { ++lastRunNumber },
        )
    private val forgotten = Channel<List<JobIdentifier>>(Channel.UNLIMITED)
    private val planSignal = Channel<Unit>(Channel.CONFLATED)
    private val watchers = ConcurrentHashMap<ExecutorIdentifier, ExecutorWatcher>()
    private val executors = ExecutorClient(node.vertx)
    private val states =
        StatePublisher(node.store, node.storeAvailability, clock, record) { node.jobs[it]?.queue }
    private val writer =
        OwnerWriter(
            node.store,
            fleet,
            node.jobs,
            node.ownership,
            record,
            policy,
            clock,
            node.storeAvailability,
            claimSequence,
            { forgotten.trySend(it) },
            { jobs -> jobs.forEach { (job, progress) -> states.publish(job, progress.state) } },
            ::onDurable,
        )
    private val workers =
        OrderWorkers(executors, fleet, record.epoch, clock, node.metrics) { changed(it) }
    private val reports = mutableMapOf<ExecutorIdentifier, ExecutorReport>()

    @Volatile
    private var machineOrders: Job? = null
    private val machines = MachineLoop(node, settings, fleet, record.epoch, writer::enqueueRecord)

    /**
     * Resigns, so that another entry instance can take over at once: [successor], if one is named. Orders for machines
     * that have no answer are reset before, so that none arrives after those of the successor.
     */
    fun resign(successor: String? = null) {
        machineOrders?.cancel()
        writer.resign(successor)
    }

    /** Resigns if a stronger entry instance has asked the owner of this term to. */
    fun resignIfAsked() {
        val request = node.ownership.handoverOf(record.epoch) ?: return
        logger.info { "owner: resigns in favour of a stronger instance=${request.candidate} epoch=${record.epoch}" }
        resign(request.candidate)
    }

    /** Runs the term. Returns the reason why it ended. */
    suspend fun run(): String =
        coroutineScope {
            fleet.withSchedule { it.startOwnership(settledAt, node.executors.all()) }
            val ownerTasks = launch { runOwnerTasks() }
            val reason = writer.run()
            ownerTasks.cancel()
            reason
        }

    private suspend fun runOwnerTasks(): Unit =
        coroutineScope {
            launch { states.run() }
            catchUp()
            loadJobs()
            launch { removeForgottenStates() }
            workers.start(this)
            val list =
                TopicFollower(node.store, Topic.Executors, clock, { LIVE_LIST_READ_PAUSE }, node.storeAvailability) {
                    applyLiveListRecords(it, this)
                }
            launch { list.run() }
            machineOrders = launch { machines.run() }
            launch { dropForgotten() }
            plan(this)
        }

    /** Removes jobs from the log. The job record goes first, as a job without its progress would run again. */
    private suspend fun dropForgotten() {
        for (jobs in forgotten) {
            for (job in jobs) {
                val dropped =
                    node.intake.append(FleetRecords.jobKey(job), null, JOB_REMOVAL_TIME_LIMIT) == IntakeOutcome.Durable
                logger.info { "owner: removal of ended job job=$job dropped=$dropped" }
                if (!dropped) continue
                node.intake.append(FleetRecords.cancellationKey(job), null, JOB_REMOVAL_TIME_LIMIT)
                writer.enqueueRemoval(job)
                states.remove(job)
            }
        }
    }

    /** Waits until the job table contains all jobs that were appended before this call. */
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
            delay(SHORTEST_PLAN_PAUSE)
        }
    }

    private fun loadJobs() {
        val now = clock.now()
        // The callback is set before the jobs are loaded, so that none is missed. A job that is read meanwhile waits
        // for the lock, and is ignored if it is known.
        node.onJobRecords = ::addReadJobs
        val position = node.jobs.readTo()
        fleet.withSchedule { schedule ->
            configure(schedule)
            val unfinished = node.jobs.unfinished()
            for ((identifier, job) in unfinished) {
                schedule.accept(checkNotNull(job.job), job.progress, now, clock.wallTime())
                if (job.cancelled) schedule.cancel(identifier, now)
            }
            val ended = node.jobs.ended()
            // The previous owner may have ended between the append of the progress and that of the state.
            (unfinished.keys + ended).forEach { job -> node.jobs[job]?.let { states.publish(job, it.state) } }
            states.publishPosition(position)
            schedule.recordEndedJobs(ended + node.jobs.cancelledWithoutJob(), now)
            logger.info { "owner: loaded unfinished=${unfinished.size} ended=${ended.size}" }
        }
    }

    /** Removes the states that an earlier owner has not removed before it ended. */
    private suspend fun removeForgottenStates() {
        states.awaitLoaded()
        catchUp()
        // Jobs that are read later are published under the same lock, and thus after the removal.
        fleet.withSchedule { states.retain(node.jobs.unfinished().keys + node.jobs.ended()) }
    }

    private fun configure(schedule: Scheduler) {
        node.configuration.current()?.let { schedule.configure(it.scheduling) }
    }

    /** Adds jobs and cancellations that were read after the takeover, all of those before [nextOffset]. */
    private fun addReadJobs(identifiers: Set<JobIdentifier>, nextOffset: Long) {
        val now = clock.now()
        fleet.withSchedule { schedule ->
            configure(schedule)
            for (identifier in identifiers) {
                val knownJob = node.jobs[identifier]
                if (node.jobs.isCancelledWithoutJob(identifier)) {
                    schedule.recordEndedJobs(setOf(identifier), now)
                    continue
                }
                if (knownJob == null) {
                    // A snapshot whose pages were read while the job was removed may have brought its state back.
                    states.remove(identifier)
                    continue
                }
                // A damaged record is logged where it is decoded.
                val job = knownJob.job ?: continue
                states.publishAccepted(identifier, job.queue)
                schedule.accept(job, knownJob.progress, now, clock.wallTime())
                if (knownJob.cancelled) schedule.cancel(identifier, now)
            }
        }
        states.publishPosition(nextOffset)
        changed()
    }

    private fun applyLiveListRecords(followed: FollowedRecords, scope: CoroutineScope) {
        if (followed.snapshot) reports.clear()
        followed.records.forEach { applyReport(it) }
        val now = clock.now()
        fleet.withSchedule { it.updateLiveList(reports.values.toList(), now) }
        for (identifier in fleet.withSchedule { schedule -> schedule.executors().map { it.identifier } }) {
            watchers.computeIfAbsent(identifier) { startWatcher(it, scope) }
        }
        changed()
    }

    private fun applyReport(record: KeyedRecord) {
        // A malformed entry names no executor to use, also if a valid one was there before.
        val report = record.value?.let { readExecutorReport(record.key, it, clock.wallTime()) }
        val identifier = executorOfKey(record.key)
        if (report == null) reports -= identifier else reports[identifier] = report
    }

    private fun startWatcher(identifier: ExecutorIdentifier, scope: CoroutineScope): ExecutorWatcher {
        val grant = minOf(GRANT_DURATION, settings.longestGrant)
        val watcher =
            ExecutorWatcher(identifier, executors, fleet, node.ownership, record.epoch, grant, clock, { changed() }) {
                node.ownership.invalidateLease(clock.now())
            }
        scope.launch {
            watcher.run()
            watchers -= identifier
        }
        return watcher
    }

    private fun changed() {
        planSignal.trySend(Unit)
        writer.notifyChanged()
    }

    private fun changed(executor: ExecutorIdentifier) {
        watchers[executor]?.wake()
        changed()
    }

    /** Sends [starts], and wakes only the watchers whose executor is affected: the fleet may have hundreds of them. */
    private fun onDurable(starts: List<Order.Start>, withDurableEnds: Set<ExecutorIdentifier>) {
        if (starts.isNotEmpty()) submitOrders(starts)
        for (executor in withDurableEnds + starts.map { it.executor }) watchers[executor]?.wake()
    }

    private fun submitOrders(orders: List<Order>) {
        val addressed =
            fleet.withSchedule { schedule ->
                orders.mapNotNull { order -> schedule.executor(order.executor)?.let { it to order } }
            }
        for ((executor, order) in addressed) workers.submit(executor, order)
    }

    private suspend fun plan(scope: CoroutineScope) {
        while (true) {
            withTimeoutOrNull(LONGEST_PLAN_PAUSE) { planSignal.receive() }
            if (clock.wasSuspended()) {
                logger.warn { "owner: suspended, no orders before the next renewal epoch=${record.epoch}" }
                node.ownership.invalidateLease(clock.now())
                writer.notifyChanged()
            }
            val reading = clock.reading()
            val startedAt = reading.monotonic
            val evacuated = node.configuration.evacuatedZones()
            val plan =
                fleet.withSchedule { schedule ->
                    configure(schedule)
                    schedule.plan(
                        startedAt,
                        clock.wallTime(),
                        node.ownership.ordersUntil(reading),
                        evacuated,
                        workers.unsentStarts,
                    )
                }
            node.metrics.planned(clock.now() - startedAt)
            plan.events.forEach { logger.info { "schedule: ${it.text} job=${it.job} executor=${it.executor}" } }
            if (plan.orders.isNotEmpty()) submitOrders(plan.orders)
            writer.notifyChanged()
            plan.probes.forEach { watchers[it]?.wake() }
            plan.advice.forEach { request -> scope.launch { requestAdvice(request) } }
            delay(SHORTEST_PLAN_PAUSE)
        }
    }

    private suspend fun requestAdvice(request: AdviceRequest) {
        val client = node.advice ?: return
        val sentAt = clock.now()
        val advice = client.advise(request) ?: return
        logger.info {
            "advice: job=${request.job} step=${request.step} asked=${request.executors.size} " +
                "allowed=${advice.tickets.size}"
        }
        fleet.withSchedule { it.recordAdvice(request, advice.tickets, sentAt + advice.validFor) }
        changed()
    }
}
