package dogwoodgrade.measure

import dogwoodgrade.limits.AppendStatus
import dogwoodgrade.limits.PermitLedger
import dogwoodgrade.limits.PermitPolicy
import dogwoodgrade.limits.PermitTable
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.valueOrNull
import kotlin.random.Random

/** Options of one run. Without a [policy], the limit is split evenly over the entries, as a baseline. */
internal data class LimitOptions(
    val seed: Long,
    val entries: Int,
    val teams: Int,
    val limit: Int,
    val seconds: Int,
    val policy: PermitPolicy?,
    /** Time from an append to its response, and until the other entries have read the record. */
    val logLatencyMilliseconds: Long,
    /** Virtual time, in milliseconds, in which the last zone is cut off from the log and from the other zones. */
    val cutOff: LongRange = LongRange.EMPTY,
)

/** Totals over the samples of a run. Times are in task-milliseconds, [waits] in milliseconds. */
internal class LimitTotals {
    var runningTime = 0L
    var possibleTime = 0L
    var cutOffRunningTime = 0L
    var cutOffPossibleTime = 0L
    var appends = 0
    var startsOverLimit = 0
    val waits = ArrayList<Long>()
}

/**
 * Simulates entries that share permits through one in-memory log, in virtual time. Demand is the number of tasks that
 * are running or waiting to run. For each team, one zone has five times its mean demand, and this zone changes every
 * few seconds.
 */
internal class LimitsSimulation(private val options: LimitOptions) {
    private inner class Member(val index: Int) {
        val identity = identity(index)
        val table = PermitTable(identity, options.policy ?: PermitPolicy())
        val running = IntArray(options.teams)
        val wantedSince = List(options.teams) { ArrayDeque<Long>() }
        val isCutOff get() = index % ZONE_COUNT == ZONE_COUNT - 1 && loop.milliseconds in options.cutOff
    }

    private val loop = EventLoop()
    private val random = Random(options.seed)
    private val teams = List(options.teams) { TeamName("team-$it") }
    private val demand = BurstDemand(ZONE_COUNT, BURST_MILLISECONDS, idleFactor = 0.2)
    private val phases = List(options.teams) { random.nextLong(BURST_MILLISECONDS * ZONE_COUNT) }
    private val relativeDemands = List(options.teams) { 0.3 + 0.9 * random.nextDouble() }
    private val members = List(options.entries) { Member(it) }
    private val log = arrayListOf(PermitLedger())
    val totals = LimitTotals()

    fun run(): LimitTotals {
        teams.forEach { team -> append { it.setLimit(team, options.limit) } }
        members.forEach { member -> append { it.join(member.identity) } }
        members.forEach { member ->
            member.table.accept(Offset(log.lastIndex.toLong()), log.last())
            loop.every(member.index * 3L, TICK_INTERVAL_MILLISECONDS) { tick(member) }
        }
        loop.every(0, SAMPLE_INTERVAL_MILLISECONDS) { sample() }
        loop.runUntil(options.seconds * 1_000L)
        return totals
    }

    private fun append(change: (PermitLedger) -> Outcome<PermitLedger>) {
        log += change(log.last()).valueOrNull() ?: log.last()
    }

    /** Number of tasks of [team] that are to run at [member] now. */
    private fun wantedTasks(member: Member, team: Int): Int {
        val time = loop.milliseconds + phases[team]
        val mean = options.limit * relativeDemands[team] / options.entries
        return (mean * demand.factor((member.index + team) % ZONE_COUNT, time)).toInt()
    }

    private fun tick(member: Member) {
        if (!member.isCutOff && options.policy != null) exchangePermits(member)
        for (team in teams.indices) {
            val queue = member.wantedSince[team]
            val missing = wantedTasks(member, team) - member.running[team] - queue.size
            repeat(missing) { queue.addLast(loop.milliseconds) }
            repeat(-missing) { queue.removeLastOrNull() }
            startTasks(member, team)
        }
    }

    private fun startTasks(member: Member, team: Int) {
        val queue = member.wantedSince[team]
        while (queue.isNotEmpty() && acquire(member, team)) {
            totals.waits += loop.milliseconds - queue.removeFirst()
            member.running[team]++
            if (members.sumOf { it.running[team] } > options.limit) totals.startsOverLimit++
            loop.after(random.nextExponential(MEAN_RUN_TIME_MILLISECONDS)) {
                member.running[team]--
                if (options.policy != null) member.table.release(teams[team])
                if (wantedTasks(member, team) > member.running[team] + queue.size) queue.addLast(loop.milliseconds)
                startTasks(member, team)
            }
        }
    }

    private fun acquire(member: Member, team: Int): Boolean {
        if (options.policy != null) return member.table.tryAcquire(teams[team])
        val extra = if (member.index < options.limit % options.entries) 1 else 0
        return member.running[team] < options.limit / options.entries + extra
    }

    private fun exchangePermits(member: Member) {
        val live = members.filter { it.isCutOff == member.isCutOff }.mapTo(HashSet<EntryIdentity>()) { it.identity }
        val wantedByTeam = teams.indices.associate { teams[it] to member.running[it] + member.wantedSince[it].size }
        val report = member.table.planReport(loop.now, live, wantedByTeam) ?: return
        totals.appends++
        append { it.applyReport(report) }
        val offset = log.lastIndex
        loop.after(options.logLatencyMilliseconds) {
            member.table.recordAppend(report.sequence, AppendStatus.Appended)
            members.forEach { reader -> deliver(reader, offset) }
        }
    }

    private fun deliver(reader: Member, offset: Int) {
        // Connected readers use long polling, so they get a record at once; a cut-off one when the partition ends.
        if (reader.isCutOff) {
            loop.at(options.cutOff.last + 1) { deliver(reader, offset) }
        } else if (reader.table.accept(Offset(offset.toLong()), log[offset])) {
            teams.indices.forEach { startTasks(reader, it) }
        }
    }

    private fun sample() {
        if (loop.milliseconds < WARM_UP_MILLISECONDS) return
        val isDuringCutOff = loop.milliseconds in options.cutOff
        for (team in teams.indices) {
            totals.runningTime += SAMPLE_INTERVAL_MILLISECONDS * members.sumOf { it.running[team] }
            totals.possibleTime +=
                SAMPLE_INTERVAL_MILLISECONDS * minOf(options.limit, members.sumOf { wantedTasks(it, team) })
            if (!isDuringCutOff) continue
            val cutOffMembers = members.filter { it.isCutOff }
            totals.cutOffRunningTime += SAMPLE_INTERVAL_MILLISECONDS * cutOffMembers.sumOf { it.running[team] }
            totals.cutOffPossibleTime +=
                SAMPLE_INTERVAL_MILLISECONDS * minOf(options.limit, cutOffMembers.sumOf { wantedTasks(it, team) })
        }
    }

    private companion object {
        const val TICK_INTERVAL_MILLISECONDS = 20L
        const val SAMPLE_INTERVAL_MILLISECONDS = 100L
        const val WARM_UP_MILLISECONDS = 2_000L
        const val BURST_MILLISECONDS = 7_000L
        const val MEAN_RUN_TIME_MILLISECONDS = 250.0
    }
}
