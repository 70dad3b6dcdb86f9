package dogwoodgrade.scheduling

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Decides which ready tasks start, and on which executors.
 *
 * A planned run is made durable before its start is ordered. An owner that has been replaced cannot write any more, so
 * its successor knows every run that may exist.
 */
internal class StartPlanner(
    private val tables: FleetTables,
    private val policy: SchedulingPolicy,
    private val nextRunNumber: () -> Long,
) {
    private val entitlementBuckets = mutableMapOf<String, TokenBucket>()
    val adviceRequests: MutableList<AdviceRequest> = mutableListOf()

    /** Number of starts that may still be planned in this pass. */
    private var allowance = 0

    /** Time at which the allowance last kept a task from starting. */
    var limitedAt: Instant = Instant.DISTANT_PAST
        private set

    /**
     * Counts a job against its team's entitlement.
     *
     * @return whether the job is within the entitlement
     */
    fun admit(job: Job, now: Instant): Boolean {
        val team = job.team?.let { tables.configuration.teams[it] } ?: return true
        return entitlementBuckets.getOrPut(team.name) { TokenBucket(team.weight * 2, now) }.tryTake(team.weight, now)
    }

    /**
     * Plans the pools that have changed since the last pass, or all of them if [all] is set.
     *
     * The steps of all pools are planned in the order of their ranks, since [allowance] is shared by the pools.
     *
     * @param allowance maximum number of starts
     */
    fun plan(inputs: PlanInputs, all: Boolean, allowance: Int) {
        adviceRequests.clear()
        this.allowance = allowance
        val changed = tables.poolsToPlan.toSet()
        tables.poolsToPlan.clear()
        val context = PlacementContext(inputs.now, inputs.avoidedZones, false)
        val candidates = mutableListOf<Candidate>()
        for ((pool, ready) in tables.readySteps) {
            if (!all && pool !in changed) continue
            ready.removeIf { it.job.ended || !it.hasReady }
            if (ready.isEmpty()) continue
            val executors = tables.executorsOf(pool).filter { acceptsTasks(it, context) }
            ready.mapTo(candidates) { Candidate(rank(it, inputs), it, executors) }
        }
        candidates.sortBy { it.rank }
        for ((_, row, executors) in candidates) {
            startStep(row, executors, inputs)
            if (this.allowance <= 0) {
                limitedAt = inputs.now
                candidates.mapTo(tables.poolsToPlan) { tables.poolOf(it.row.job.job) }
                return
            }
        }
    }

    private fun rank(row: StepRow, inputs: PlanInputs): Rank {
        val queue = tables.queueOf(row.job.job)
        return rankOf(
            row,
            queue,
            row.job.job.identifier in inputs.jobsExceedingEntitlement,
            inputs.now,
            inputs.wallTime,
        )
    }

    private fun startStep(row: StepRow, executors: List<ExecutorRow>, inputs: PlanInputs) {
        val needsTicket = tables.queueOf(row.job.job)?.needsAdvice == true
        val context = PlacementContext(inputs.now, inputs.avoidedZones, needsTicket)
        if (needsTicket) requestAdvice(row, executors, inputs)
        val allowed = allowedExecutors(row, executors, context)
        if (row.step.gang) {
            startGang(row, allowed, inputs)
            return
        }
        for (task in row.tasks) {
            if (task.phase != TaskPhase.Ready || task.notBefore > inputs.now) continue
            if (allowance <= 0 || !withinCap(row)) return
            val executor = chooseExecutor(row, task, allowed)
            if (executor == null) {
                if (row.step.longRunning && !row.step.usesSpareCapacity) preempt(row, task, allowed, inputs.now)
                return
            }
            start(task, executor, nextRunNumber(), inputs)
        }
    }

    private fun startGang(row: StepRow, allowed: List<ExecutorRow>, inputs: PlanInputs) {
        if (row.tasks.any { it.phase != TaskPhase.Ready || it.notBefore > inputs.now }) return
        val team = row.job.job.team
        if (team != null && !row.tasks.indices.all { withinCap(row, it + 1) }) return
        val placed = placeGang(row, allowed) ?: return
        val run = nextRunNumber()
        val checkpoint = row.tasks
            .firstOrNull { it.checkpoint.isNotEmpty() }
            ?.checkpoint
            .orEmpty()
        for ((task, executor) in placed) {
            task.checkpoint = checkpoint
            start(task, executor, run, inputs)
        }
    }

    private fun withinCap(row: StepRow, tasks: Int = 1): Boolean {
        val team = row.job.job.team ?: return true
        val cap = tables.configuration.teams[team]?.cap ?: return true
        var used = tables.teamUse[team] ?: Resources.None
        repeat(tasks - 1) { used += row.step.request }
        return cap.admits(used, row.step.request)
    }

    private fun start(task: TaskRow, executor: ExecutorRow, run: Long, inputs: PlanInputs) {
        val number = maxOf(run, task.lastRun + 1)
        val active =
            ActiveRun(
                executor.identifier,
                number,
                inputs.now,
                Duration.ZERO,
                RunPhase.Planned,
                checkpoint = task.checkpoint,
            )
        tables.activate(task, active)
        allowance--
        tables.plannedStarts += PlannedStart(task.name, executor.identifier, number)
    }

    /** Returns the order for a planned start whose run is durable, or `null` if the run is no longer needed. */
    fun dispatch(planned: PlannedStart, ownedUntil: Instant, now: Instant): Order.Start? {
        val task = tables.task(planned.task) ?: return null
        val row = tables.stepOf(planned.task) ?: return null
        val run = task.active?.takeIf { it.run == planned.run && it.phase == RunPhase.Planned } ?: return null
        val executor = tables.executors[planned.executor]
        val clock = executor?.estimatedClock(now)
        val timeToDeadline = minOf(policy.startOrderValidity, ownedUntil - now)
        val unwanted = timeToDeadline <= Duration.ZERO || planned.task in tables.pendingStops
        if (executor == null || clock == null || unwanted) {
            tables.release(task)
            tables.requeue(task, now, now)
            return null
        }
        val deadline = clock + timeToDeadline
        executor.grantedUntil = maxOf(executor.grantedUntil, deadline)
        run.startDeadline = deadline
        run.orderedFrom = executor.report.incarnation
        executor.orderedStarts.add(task.name, run.run, executor.report.incarnation, now)
        run.inTransit = true
        run.phase = RunPhase.Starting
        val ticket = row.tickets[executor.identifier]?.text
        return Order.Start(
            executor.identifier,
            task.name,
            run.run,
            row.job.job.payload,
            deadline,
            run.checkpoint,
            ticket,
        )
    }

    /**
     * Frees capacity for a long-running task that has waited for the preemption delay: stops the newest batch runs on
     * the executor with the most free processor capacity, so that little batch work is lost.
     */
    private fun preempt(row: StepRow, task: TaskRow, allowed: List<ExecutorRow>, now: Instant) {
        if (now - task.readySince < policy.preemptionDelay) return
        val candidates =
            allowed.filter { executor ->
                executor.runs.values.none { it.stopReason == StopReason.Preempted } &&
                    row.tasks.none { it.active?.executor == executor.identifier } &&
                    row.step.reserved.fitsIn(executor.free + preemptible(executor))
            }
        val executor = candidates.maxByOrNull { it.free.processor } ?: return
        var freed = executor.free
        for ((name, run) in executor.runs.toList().sortedByDescending { it.second.startedAt }) {
            if (row.step.reserved.fitsIn(freed)) break
            val step = tables.stepOf(name) ?: continue
            if (step.step.longRunning || run.phase == RunPhase.Stopping) continue
            tables.pendingStops[name] = StopReason.Preempted
            run.stopReason = StopReason.Preempted
            freed += step.step.reserved
        }
    }

    private fun preemptible(executor: ExecutorRow): Resources =
        executor.runs.keys
            .mapNotNull { tables.stepOf(it) }
            .filter { !it.step.longRunning }
            .fold(Resources.None) { sum, step -> sum + step.step.reserved }

    private fun requestAdvice(row: StepRow, executors: List<ExecutorRow>, inputs: PlanInputs) {
        val requestedAt = row.adviceRequestedAt
        if (requestedAt != null && inputs.now - requestedAt < policy.startOrderValidity) return
        if (executors.isEmpty() ||
            executors.any { (row.tickets[it.identifier]?.validUntil ?: Instant.DISTANT_PAST) > inputs.now }
        ) {
            return
        }
        row.adviceRequestedAt = inputs.now
        adviceRequests +=
            AdviceRequest(row.job.job.identifier, row.occurrence, row.number, executors.map { it.identifier })
    }
}

/** A step that has ready tasks, with the executors of its pool that accept tasks. */
private data class Candidate(
    val rank: Rank,
    val row: StepRow,
    val executors: List<ExecutorRow>,
)

/** A request to the advisory service: which of [executors] may run the step. */
public data class AdviceRequest(
    public val job: JobIdentifier,
    public val occurrence: Int,
    public val step: Int,
    public val executors: List<ExecutorIdentifier>,
)

/**
 * Inputs of one planning pass.
 *
 * @property now time on the steady clock
 * @property wallTime time of day, which due times and deadlines of jobs refer to
 * @property avoidedZones availability zones that operators have evacuated, and those that do not answer
 * @property jobsExceedingEntitlement jobs that exceeded the entitlement of their team when they were accepted
 */
internal data class PlanInputs(
    val now: Instant,
    val wallTime: Instant,
    val avoidedZones: Set<String>,
    val jobsExceedingEntitlement: Set<JobIdentifier>,
)

/** Token bucket that limits the jobs of a team; it holds at most the tokens of two seconds. */
private data class TokenBucket(
    var tokens: Double,
    var filledAt: Instant,
) {
    fun tryTake(perSecond: Double, now: Instant): Boolean {
        val seconds = (now - filledAt).inWholeMilliseconds / 1000.0
        tokens = minOf(perSecond * 2, tokens + perSecond * seconds)
        filledAt = now
        if (tokens < 1) return false
        tokens -= 1
        return true
    }
}
