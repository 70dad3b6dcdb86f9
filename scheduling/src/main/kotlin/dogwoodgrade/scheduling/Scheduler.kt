package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Maximum age of a job that counts as arriving work; older ones were accepted before this owner took over. */
private val MAX_ARRIVAL_AGE: Duration = 2.seconds

/** Time between two passes that look at everything. */
private val FULL_PASS_INTERVAL: Duration = 40.milliseconds

/**
 * Schedules the jobs of all pools while this process owns the fleet.
 *
 * Not thread-safe: callers hold the lock of the fleet table (number 1 in the lock order of the node process). `now` is
 * the current time on a steady clock, `wallTime` the current time of day.
 */
public class Scheduler(
    private val policy: SchedulingPolicy,
    private val nextRunNumber: () -> Long,
) {
    private val tables = FleetTables(policy)
    private val transitions = JobTransitions(tables, policy)
    private val listings = ListingProcessor(tables, transitions, policy)
    private val outcomes = OrderOutcomes(tables, listings, policy)
    private val stops = StopPlanner(tables, listings, policy)
    private val changes = DurableChanges(tables, transitions)
    private val starts = StartPlanner(tables, policy, nextRunNumber)
    private val pace = PaceController(tables)
    private val speculativeCopies = SpeculativeCopies(tables)
    private val arrivals = ArrivalMeter()
    private val jobsExceedingEntitlement = mutableSetOf<JobIdentifier>()

    /** Incarnations of executors that are known to have ended; the live list still shows them for some seconds. */
    private val endedExecutors = mutableMapOf<ExecutorIdentifier, Long>()
    private var settledAt = Instant.DISTANT_PAST
    private var fullPassAt = Instant.DISTANT_PAST

    /** Returns the load of all pools and executors. */
    public fun fleetView(now: Instant, wallTime: Instant): FleetView {
        val startsLimited = now - starts.limitedAt < policy.startLimitMemory
        return fleetView(tables, arrivals, startsLimited, now, wallTime)
    }

    /**
     * Starts ownership of the fleet.
     *
     * @param settledAt time at which every grant of earlier owners has ended
     * @param knownExecutors executors on which earlier owners may have started runs
     */
    public fun startOwnership(settledAt: Instant, knownExecutors: List<ExecutorReport>) {
        this.settledAt = settledAt
        for (report in knownExecutors) {
            val row = tables.addExecutor(report)
            row.absentFromLiveList = true
            row.recorded = true
            row.inheritedGrantsUntil = settledAt + policy.longestOrderDelay
        }
    }

    /** Applies a configuration, unless its version is not newer than the current one. */
    public fun configure(configuration: SchedulingConfiguration) {
        if (configuration.version <= tables.configuration.version) return
        // Jobs of a team that was removed stay within its last cap.
        val removedTeams = tables.configuration.teams - configuration.teams.keys
        tables.configuration = configuration.copy(teams = removedTeams + configuration.teams)
        val steps = tables.readySteps.values.flatten()
        tables.readySteps.clear()
        steps.forEach { tables.markReady(it) }
    }

    /** Adds a job, with [progress] if an earlier owner recorded any. A job with a known identifier is ignored. */
    public fun accept(job: Job, progress: JobProgress?, now: Instant, wallTime: Instant) {
        if (job.identifier in tables.jobs) return
        if (!starts.admit(job, now)) {
            jobsExceedingEntitlement += job.identifier
        } else if (progress == null && job.repetition == null && wallTime - job.acceptedAt < MAX_ARRIVAL_AGE) {
            arrivals.add(tables.poolOf(job), job, now)
        }
        transitions.accept(job, progress, now, wallTime)
        tables.events += SchedulerEvent(job.identifier, null, "accepted queue=${job.queue} steps=${stepSummary(job)}")
    }

    private fun stepSummary(job: Job): String =
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

    /**
     * Records jobs that ended under an earlier owner, or were cancelled and have not been accepted, so that they are
     * forgotten after their retention time.
     */
    public fun recordEndedJobs(jobs: Set<JobIdentifier>, now: Instant): Unit = transitions.recordEndedJobs(jobs, now)

    /** Cancels a job. An unknown job is ignored. */
    public fun cancel(job: JobIdentifier, now: Instant) {
        tables.jobs[job]?.let { transitions.cancel(it, now) }
    }

    /** Fails a job whose progress the log never takes, so that the other jobs go on. An unknown job is ignored. */
    public fun giveUp(job: JobIdentifier, now: Instant) {
        tables.jobs[job]?.let { transitions.giveUp(it, now) }
    }

    /** Returns a job, or `null` if it is not known. */
    public fun job(identifier: JobIdentifier): Job? = tables.jobs[identifier]?.job

    /** Returns the state of a job, or `null` if it is not known. */
    public fun state(job: JobIdentifier): JobState? = tables.jobs[job]?.state

    /** Replaces the live list. Executors that it lacks get no new tasks, but their runs count until they expire. */
    public fun updateLiveList(reports: List<ExecutorReport>, now: Instant) {
        endedExecutors.keys.retainAll(reports.mapTo(mutableSetOf()) { it.identifier })
        val alive = reports.filter { it.incarnation > (endedExecutors[it.identifier] ?: Long.MIN_VALUE) }
        val present = alive.mapTo(mutableSetOf()) { it.identifier }
        for (report in alive) {
            val known = tables.executors[report.identifier]
            if (known != null && report.incarnation < known.report.incarnation) continue
            if (known != null && report.incarnation > known.report.incarnation) {
                listings.restart(known, report.incarnation, now)
            }
            tables.addExecutor(report).absentFromLiveList = false
        }
        for (row in tables.executors.values) row.absentFromLiveList = row.identifier !in present
        dropAbsentExecutors()
    }

    private fun dropAbsentExecutors() {
        tables.executors.values
            .filter { it.absentFromLiveList && !it.reachable && !it.mayHoldRuns }
            .forEach { tables.dropExecutor(it.identifier) }
    }

    /** Returns whether there are executors, and each of them has answered this owner or is unreachable. */
    public fun allExecutorsAnswered(): Boolean =
        tables.executors.isNotEmpty() && tables.executors.values.all { it.listedAt != null || !it.reachable }

    /** Returns an executor, or `null` if it is not known. */
    public fun executor(identifier: ExecutorIdentifier): ExecutorReport? = tables.executors[identifier]?.report

    /** Returns all known executors, in no particular order. */
    public fun executors(): List<ExecutorReport> = tables.executors.values.map { it.report }

    /** Sets the executors whose machines are about to be taken out of use; these executors get no new tasks. */
    public fun retire(executors: Set<ExecutorIdentifier>) {
        for (row in tables.executors.values) row.retiring = row.identifier in executors
    }

    /** Stops new tasks on [executor] so that its machine can be moved. Returns `false` if runs may exist on it. */
    public fun reserveForMove(executor: ExecutorIdentifier): Boolean {
        val row = tables.executors[executor] ?: return true
        if (row.mayHoldRuns) return false
        row.retiring = true
        return true
    }

    /**
     * Stops new tasks on [executor] so that the maintenance of its machine can begin. Returns `false` if long-running
     * tasks may exist on it, which have to be moved first. A view of the fleet does not show what was planned since.
     */
    public fun reserveForMaintenance(executor: ExecutorIdentifier): Boolean {
        val row = tables.executors[executor] ?: return true
        if (row.longRuns > 0) return false
        row.retiring = true
        return true
    }

    /** Removes an executor that has ended, whether by an order of this owner or not: no run exists on it. */
    public fun removeExecutor(executor: ExecutorIdentifier, now: Instant) {
        val row = tables.executors[executor] ?: return
        endedExecutors[executor] = row.report.incarnation
        listings.requeueLostRuns(row, now)
        tables.dropExecutor(executor)
    }

    /** Records that the address of [asked] belongs to a different executor now, so that this incarnation has ended. */
    public fun recordReplacedExecutor(asked: ExecutorReport, now: Instant) {
        val known = tables.executors[asked.identifier]?.report ?: return
        // The answer of an earlier address says nothing about an incarnation that has registered another one.
        if (known.incarnation != asked.incarnation || known.address != asked.address) return
        removeExecutor(asked.identifier, now)
    }

    /** Returns the next request to [executor], or `null` if the executor is no longer known. */
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
            row.durableEnd.takeIf { it > row.acknowledgedEnd } ?: 0,
            waiting,
            row.mayHoldRuns || row.listedAt == null,
            row.hasStaleOrders,
            executor in tables.zones.probes,
        )
    }

    /** Records that a request is sent to [executor] now. */
    public fun recordRequest(executor: ExecutorIdentifier, now: Instant) {
        tables.executors[executor]?.let { if (it.unansweredSince == null) it.unansweredSince = now }
    }

    /** Processes the answer of an executor to the request [sent] at [requestedAt]. */
    public fun processListing(
        executor: ExecutorIdentifier,
        listing: ExecutorListing,
        requestedAt: Instant,
        now: Instant,
        sent: ListingRequest = ListingRequest(),
    ) {
        tables.executors[executor]?.let { listings.process(it, listing, sent, requestedAt, now) }
    }

    /** Records that the executor did not answer. */
    public fun markUnreachable(executor: ExecutorIdentifier) {
        tables.executors[executor]?.let {
            if (it.reachable) tables.events += SchedulerEvent(null, executor, "unreachable runs=${it.runs.size}")
            it.reachable = false
        }
    }

    /** Processes the outcome of a start order. */
    public fun processStartOutcome(order: Order.Start, outcome: StartOutcome, now: Instant): Unit =
        outcomes.processStart(order, outcome, now)

    /** Processes the outcome of a stop order that was sent to [executor]. */
    public fun processStopOutcome(
        order: Order.Stop,
        executor: ExecutorReport,
        outcome: StopOutcome,
        now: Instant,
    ): Unit =
        outcomes.processStop(order, executor, outcome, now)

    /** Records the tickets of the executors that may run a step. */
    public fun recordAdvice(request: AdviceRequest, tickets: Map<ExecutorIdentifier, String>, validUntil: Instant) {
        val row = tables.jobs[request.job]
            ?.steps
            ?.get(request.occurrence)
            ?.getOrNull(request.step) ?: return
        row.tickets = tickets.mapValues { (_, text) -> Ticket(text, validUntil) }
        row.adviceRequestedAt = null
    }

    /**
     * Plans orders and starts. The plan contains no orders once [ownedUntil] has passed.
     *
     * @param unsentStarts number of durable starts that have not been sent yet. Starts are planned only as fast as they
     * are sent: one that waits longer than its deadline is rejected, and all work on it is lost.
     */
    public fun plan(
        now: Instant,
        wallTime: Instant,
        ownedUntil: Instant,
        evacuatedZones: Set<String>,
        unsentStarts: Int = 0,
    ): SchedulerPlan {
        // What no event announces, such as a deadline that passes, is looked for in part of the passes only: it takes a
        // look at every executor, run and job.
        val full = now - fullPassAt >= FULL_PASS_INTERVAL || now < fullPassAt
        if (full) updateZones(now)
        val probes = tables.zones.probes
        if (now >= ownedUntil) return SchedulerPlan(emptyList(), emptyList(), probes, takeEvents())
        if (full) {
            fullPassAt = now
            expireGrants(now)
            createDueOccurrences(now, wallTime)
            speculativeCopies.plan(now)
            stops.planStopsOfAllRuns(now)
        }
        val inputs = PlanInputs(now, wallTime, evacuatedZones + tables.zones.silent, jobsExceedingEntitlement)
        val waitingStarts = unsentStarts + changes.waitingStarts
        starts.plan(inputs, all = full, allowance = policy.maximumUnsentStarts - waitingStarts)
        val orders = stops.plan(now) + if (full) pace.plan(now) else emptyList()
        return SchedulerPlan(orders, starts.adviceRequests.toList(), probes, takeEvents())
    }

    private fun createDueOccurrences(now: Instant, wallTime: Instant) {
        for (row in tables.jobs.values) {
            if (row.job.repetition != null && !row.ended && transitions.createDueOccurrences(row, wallTime)) {
                transitions.releaseSteps(row, now)
            }
        }
    }

    private fun updateZones(now: Instant) {
        val before = tables.zones.silent
        tables.zones = assessZones(tables.executors.values, tables.zones, now)
        val silent = tables.zones.silent
        for (zone in silent - before) tables.events += SchedulerEvent(null, null, "zone silent zone=$zone")
        for (zone in before - silent) tables.events += SchedulerEvent(null, null, "zone answers again zone=$zone")
    }

    /** Requeues the tasks of unreachable executors on which every possible grant has ended. */
    private fun expireGrants(now: Instant) {
        for (row in tables.executors.values) {
            if (row.reachable || !row.mayHoldRuns) continue
            val expiry = row.grantsUntil(policy.maximumClockDrift, now) + policy.expiryMargin
            if (maxOf(expiry, settledAt) > now) continue
            tables.events += SchedulerEvent(null, row.identifier, "grants expired runs=${row.runs.size}")
            listings.requeueLostRuns(row, now)
        }
        dropAbsentExecutors()
    }

    /** Returns the changes that have to be made durable, or `null` if there are none. */
    public fun takeChanges(now: Instant): ProgressBatch? {
        val batch = changes.take(now)
        if (batch != null) jobsExceedingEntitlement -= batch.forgotten.toSet()
        return batch
    }

    /**
     * Records that [batch] is durable, so that executors may forget the ends in it.
     *
     * @return the start orders to send now
     */
    public fun confirmDurable(batch: ProgressBatch, ownedUntil: Instant, now: Instant): List<Order.Start> {
        changes.confirm(batch)
        return batch.starts.mapNotNull { starts.dispatch(it, ownedUntil, now) }
    }

    private fun takeEvents(): List<SchedulerEvent> = tables.events.toList().also { tables.events.clear() }
}
