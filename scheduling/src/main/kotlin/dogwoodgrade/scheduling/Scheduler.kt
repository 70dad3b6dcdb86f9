package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Age up to which a job that is learned of counts as arriving; older ones were accepted before this ownership. */
private val arrivalAge: Duration = 2.seconds

/**
 * Schedules the jobs of all pools while this process owns them.
 *
 * Not thread-safe: callers hold the lock of the fleet table (number 1 in the lock order). Every function that decides
 * takes the present time on a steady clock; [plan] also takes the time of day.
 */
public class Scheduler(
    private val policy: SchedulingPolicy,
    private val nextRun: () -> Long,
) {
    private val tables = FleetTables()
    private val transitions = JobTransitions(tables, policy)
    private val listings = ListingProcessor(tables, transitions, policy)
    private val stops = StopPlanner(tables, listings, policy)
    private val starts = StartPlanner(tables, policy, nextRun)
    private val pace = PaceController(tables)
    private val copies = SpeculativeCopies(tables)
    private val arrivals = ArrivalMeter()
    private val beyondEntitlement = mutableSetOf<JobIdentifier>()

    /** Incarnations of executors that are known to have ended; the live list goes on showing them for some seconds. */
    private val endedExecutors = mutableMapOf<ExecutorIdentifier, Long>()
    private var settledAt = Instant.DISTANT_PAST

    /** Returns what is known of pools and their load. */
    public fun fleet(now: Instant, wall: Instant): FleetView = fleetView(tables, arrivals, now, wall)

    /**
     * Starts ownership.
     *
     * @param settledAt when every grant of earlier owners has ended
     * @param known executors on which earlier owners may have started runs
     */
    public fun begin(settledAt: Instant, known: List<ExecutorReport>) {
        this.settledAt = settledAt
        for (report in known) {
            val row = ExecutorRow(report)
            row.vanished = true
            row.recorded = true
            tables.executors[report.identifier] = row
        }
    }

    /** Applies a configuration. Versions that are not newer are ignored. */
    public fun configure(configuration: SchedulingConfiguration) {
        if (configuration.version <= tables.configuration.version) return
        tables.configuration = configuration
        val steps = tables.readySteps.values.flatten()
        tables.readySteps.clear()
        steps.forEach { tables.markReady(it) }
    }

    /** Adds a job, with [progress] if it is known from before. A known identifier is ignored. */
    public fun accept(job: Job, progress: JobProgress?, now: Instant, wall: Instant) {
        if (job.identifier in tables.jobs) return
        if (!starts.admit(job, now)) {
            beyondEntitlement += job.identifier
        } else if (progress == null && job.repetition == null && wall - job.acceptedAt < arrivalAge) {
            arrivals.add(tables.poolOf(job), job, now)
        }
        transitions.accept(job, progress, now, wall)
        tables.events += SchedulerEvent(job.identifier, null, "accepted queue=${job.queue} steps=${summary(job)}")
    }

    private fun summary(job: Job): String =
        job.steps.joinToString(",") { step ->
            val kind = if (step.longRunning) "long" else step.estimate.toString()
            val options =
                listOfNotNull(
                    "gang".takeIf { step.gang },
                    "spare".takeIf { step.usesSpareCapacity },
                    "spread=${step.tasksPerExecutor}".takeIf { step.tasksPerExecutor > 0 },
                    step.targetLatency?.let { "target=$it" },
                    "budget=${step.unavailabilityBudget}".takeIf { step.unavailabilityBudget > 0 },
                    "speculative".takeIf { step.speculative },
                )
            "${step.count}x${step.request.processor}m/$kind${options.joinToString(
                "+",
                "+",
            ).takeIf { options.isNotEmpty() }.orEmpty()}"
        }

    /** Notes jobs that ended under an earlier owner, so that they are forgotten in their time. */
    public fun rememberEnded(jobs: Set<JobIdentifier>, now: Instant): Unit = transitions.rememberEnded(jobs, now)

    /** Cancels a job; a job that is not known is ignored. */
    public fun cancel(job: JobIdentifier, now: Instant) {
        tables.jobs[job]?.let { transitions.cancel(it, now) }
    }

    /** Returns the state of a job, or `null` if it is not known. */
    public fun state(job: JobIdentifier): JobState? = tables.jobs[job]?.state

    /** Replaces the live list. Executors that it lacks get no more work, but their runs count until they expire. */
    public fun executorsReported(reports: List<ExecutorReport>, now: Instant) {
        endedExecutors.keys.retainAll(reports.mapTo(mutableSetOf()) { it.identifier })
        val alive = reports.filter { it.incarnation > (endedExecutors[it.identifier] ?: Long.MIN_VALUE) }
        val present = alive.mapTo(mutableSetOf()) { it.identifier }
        for (report in alive) {
            val row = tables.executors.getOrPut(report.identifier) { ExecutorRow(report) }
            if (report.incarnation < row.report.incarnation) continue
            if (report.incarnation > row.report.incarnation) listings.restart(row, report.incarnation, now)
            row.report = report
            row.vanished = false
        }
        for (row in tables.executors.values) row.vanished = row.identifier !in present
        dropVanished()
    }

    private fun dropVanished() {
        tables.executors.values
            .filter { it.vanished && !it.reachable && !it.mayHoldRuns }
            .forEach { tables.dropExecutor(it.identifier) }
    }

    /** Tells whether there are executors and each has answered this owner, or does not answer. */
    public fun executorsKnown(): Boolean =
        tables.executors.isNotEmpty() && tables.executors.values.all { it.listedAt != null || !it.reachable }

    /** Returns the executors to ask, in no particular order. */
    public fun executors(): List<ExecutorReport> = tables.executors.values.map { it.report }

    /** Marks machines whose executors are about to be ordered away; they get no new work. */
    public fun retire(executors: Set<ExecutorIdentifier>) {
        for (row in tables.executors.values) row.retiring = row.identifier in executors
    }

    /** Keeps new work from [executor] for a move; returns `false` if something runs there. */
    public fun reserveForMove(executor: ExecutorIdentifier): Boolean {
        val row = tables.executors[executor] ?: return true
        if (row.mayHoldRuns) return false
        row.retiring = true
        return true
    }

    /** The executor ended by an order of ours or is known to be gone: nothing runs there. */
    public fun executorGone(executor: ExecutorIdentifier, now: Instant) {
        val row = tables.executors[executor] ?: return
        endedExecutors[executor] = row.report.incarnation
        listings.loseRuns(row, now)
        tables.dropExecutor(executor)
    }

    /** Returns what to send to [executor], or `null` if it is not known any more. */
    public fun grantRequest(
        executor: ExecutorIdentifier,
        grant: Duration,
        ownedUntil: Instant,
        now: Instant,
    ): GrantRequest? {
        val row = tables.executors[executor] ?: return null
        val clock = row.estimatedClock(now)
        val length = minOf(grant, ownedUntil - now)
        val deadline = if (clock == null || !row.reachable || length <= Duration.ZERO) null else clock + length
        if (deadline != null) row.grantedUntil = maxOf(row.grantedUntil, deadline)
        val waiting = row.processedEnd > row.durableEnd
        return GrantRequest(
            row.report,
            deadline,
            row.durableEnd,
            waiting,
            row.mayHoldRuns || row.listedAt == null,
            executor in tables.zones.probes,
        )
    }

    /** Notes that a request is sent to [executor] now. */
    public fun asked(executor: ExecutorIdentifier, now: Instant) {
        tables.executors[executor]?.let { if (it.unansweredSince == null) it.unansweredSince = now }
    }

    /** Processes what an executor answered to a request that was sent at [requestedAt]. */
    public fun listed(executor: ExecutorIdentifier, listing: ExecutorListing, requestedAt: Instant, now: Instant) {
        tables.executors[executor]?.let { listings.process(it, listing, requestedAt, now) }
    }

    /** The executor gave no answer. */
    public fun unreachable(executor: ExecutorIdentifier) {
        tables.executors[executor]?.let {
            if (it.reachable) tables.events += SchedulerEvent(null, executor, "unreachable runs=${it.runs.size}")
            it.reachable = false
        }
    }

    /** Processes the outcome of a start order. */
    public fun startAnswered(order: Order.Start, outcome: StartOutcome, now: Instant) {
        val task = tables.task(order.task) ?: return
        val run = task.active?.takeIf { it.run == order.run && it.executor == order.executor } ?: return
        when (outcome) {
            StartOutcome.Started -> {
                if (run.confirmedAt == null) run.confirmedAt = now
                if (run.phase == RunPhase.Starting) run.phase = RunPhase.Running
            }
            is StartOutcome.Unknown -> Unit
            is StartOutcome.Rejected -> {
                tables.events +=
                    SchedulerEvent(
                        order.task.job,
                        order.executor,
                        "start rejected reason=${outcome.reason} run=${order.run}",
                    )
                if (outcome.reason == StartRejection.Unhealthy) {
                    tables.executors[order.executor]?.let { listings.blame(it, task, now) }
                    task.lastFailedOn = order.executor
                }
                tables.release(task)
                tables.requeue(task, now, now + policy.rejectionPause)
                listings.restartGang(task, now)
            }
        }
    }

    /** Records which executors may run a step. */
    public fun advised(request: AdviceRequest, tickets: Map<ExecutorIdentifier, String>, validUntil: Instant) {
        val row = tables.jobs[request.job]
            ?.steps
            ?.get(request.occurrence)
            ?.getOrNull(request.step) ?: return
        row.tickets = tickets.mapValues { (_, text) -> Ticket(text, validUntil) }
        row.adviceAskedAt = null
    }

    /** Decides what to do now. Nothing is decided once [ownedUntil] has passed. */
    public fun plan(now: Instant, wall: Instant, ownedUntil: Instant, evacuated: Set<String>): SchedulerPlan {
        judgeZones(now)
        val probes = tables.zones.probes
        if (now >= ownedUntil) return SchedulerPlan(emptyList(), emptyList(), probes, takeEvents())
        expireGrants(now)
        for (row in tables.jobs.values) {
            if (row.job.repetition != null && !row.ended && transitions.createDueOccurrences(row, wall)) {
                transitions.releaseSteps(row, now)
            }
        }
        val inputs = PlanInputs(now, wall, evacuated + tables.zones.silent, beyondEntitlement)
        copies.plan(now)
        starts.plan(inputs)
        val orders = stops.plan(now) + pace.plan(now)
        return SchedulerPlan(orders, starts.adviceWanted.toList(), probes, takeEvents())
    }

    private fun judgeZones(now: Instant) {
        val before = tables.zones.silent
        tables.zones = zoneContact(tables.executors.values, tables.zones, now)
        val silent = tables.zones.silent
        for (zone in silent - before) tables.events += SchedulerEvent(null, null, "zone silent zone=$zone")
        for (zone in before - silent) tables.events += SchedulerEvent(null, null, "zone answers again zone=$zone")
    }

    /** Lets the tasks wait again whose executor has not answered until every grant that it may have has ended. */
    private fun expireGrants(now: Instant) {
        for (row in tables.executors.values) {
            if (row.reachable || !row.mayHoldRuns) continue
            val expiry = row.reaches(row.grantedUntil, policy.clockError) + policy.expiryMargin
            if (maxOf(expiry, settledAt) > now) continue
            tables.events += SchedulerEvent(null, row.identifier, "grants expired runs=${row.runs.size}")
            listings.loseRuns(row, now)
        }
        dropVanished()
    }

    /** Returns what has to become durable, or `null` if nothing has changed. */
    public fun takeChanges(now: Instant): ProgressBatch? {
        val forgotten = transitions.forget(now)
        beyondEntitlement -= forgotten.toSet()
        val ends = tables.executors.values.filter { it.processedEnd > it.durableEnd }
        val unrecorded = tables.executors.values
            .filter { !it.recorded }
            .map { it.report }
        val gone = tables.goneExecutors.filter { it !in tables.executors }
        val progress = tables.changed.mapNotNull { id -> tables.jobs[id]?.let { id to it.progress() } }.toMap()
        tables.changed.clear()
        tables.goneExecutors.clear()
        val starts = tables.plannedStarts.toList()
        tables.plannedStarts.clear()
        val batch =
            ProgressBatch(
                progress,
                forgotten,
                ends.associate { it.identifier to it.processedEnd },
                ends.associate { it.identifier to it.report.incarnation },
                unrecorded,
                gone,
                starts,
            )
        return batch.takeIf { !it.isEmpty }
    }

    /**
     * [batch] is durable: executors may forget its ends.
     *
     * @return the start orders to send now
     */
    public fun durable(batch: ProgressBatch, ownedUntil: Instant, now: Instant): List<Order.Start> {
        batch.executors.forEach { tables.executors[it.identifier]?.recorded = true }
        for ((identifier, number) in batch.ends) {
            val row = tables.executors[identifier] ?: continue
            if (row.report.incarnation == batch.incarnations[identifier]) row.durableEnd = maxOf(row.durableEnd, number)
        }
        return batch.starts.mapNotNull { starts.dispatch(it, ownedUntil, now) }
    }

    private fun takeEvents(): List<SchedulerEvent> = tables.events.toList().also { tables.events.clear() }
}
