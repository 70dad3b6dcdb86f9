package dogwoodgrade.measure

import dogwoodgrade.limits.AppendKnowledge
import dogwoodgrade.limits.PermitLedger
import dogwoodgrade.limits.PermitPolicy
import dogwoodgrade.limits.PermitTable
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.valueOrNull
import kotlin.random.Random

/** Options of one run. Without a [policy] the limit is split evenly over the entries (the baseline). */
internal data class LimitOptions(
    val seed: Long,
    val entries: Int,
    val teams: Int,
    val limit: Int,
    val seconds: Int,
    val policy: PermitPolicy?,
    /** Milliseconds from the append to the response, and from the append until a peer has read the record. */
    val logLatency: Long,
    /** Time in which the last zone is cut off from the log and from the other zones, in milliseconds. */
    val cutOff: LongRange = LongRange.EMPTY,
)

/** Sums over the samples of a run, in task-milliseconds but for the counts. */
internal class LimitTotals {
    var running = 0L
    var possible = 0L
    var cutOffRunning = 0L
    var cutOffPossible = 0L
    var appends = 0
    var overLimit = 0
    val waits = ArrayList<Long>()
}

/**
 * Entries that take permits from one in-memory log, in virtual time. Demand is a number of tasks that want to run: per
 * team it is uneven over the zones, and the zone that asks for five times its mean changes every few seconds.
 */
internal class LimitsSimulation(private val options: LimitOptions) {
    private inner class Member(val index: Int) {
        val identity = identity(index)
        val table = PermitTable(identity, options.policy ?: PermitPolicy())
        val running = IntArray(options.teams)
        val wantedSince = List(options.teams) { ArrayDeque<Long>() }
        val isCutOff get() = index % ZONES == ZONES - 1 && loop.milliseconds in options.cutOff
    }

    private val loop = EventLoop()
    private val random = Random(options.seed)
    private val teams = List(options.teams) { TeamName("team-$it") }
    private val demand = BurstDemand(ZONES, BURST, low = 0.2)
    private val phases = List(options.teams) { random.nextLong(BURST * ZONES) }
    private val sizes = List(options.teams) { 0.3 + 0.9 * random.nextDouble() }
    private val members = List(options.entries) { Member(it) }
    private val log = arrayListOf(PermitLedger())
    val totals = LimitTotals()

    fun run(): LimitTotals {
        teams.forEach { team -> append { it.setLimit(team, options.limit) } }
        members.forEach { member -> append { it.join(member.identity) } }
        members.forEach { member ->
            member.table.accept(Offset(log.lastIndex.toLong()), log.last())
            loop.every(member.index * 3L, TICK) { tick(member) }
        }
        loop.every(0, SAMPLE_INTERVAL) { sample() }
        loop.runUntil(options.seconds * 1_000L)
        return totals
    }

    private fun append(change: (PermitLedger) -> Outcome<PermitLedger>) {
        log += change(log.last()).valueOrNull() ?: log.last()
    }

    /** Tasks of [team] that want to run at [member] now. */
    private fun wanted(member: Member, team: Int): Int {
        val time = loop.milliseconds + phases[team]
        val mean = options.limit * sizes[team] / options.entries
        return (mean * demand.factor((member.index + team) % ZONES, time)).toInt()
    }

    private fun tick(member: Member) {
        if (!member.isCutOff && options.policy != null) exchange(member)
        for (team in teams.indices) {
            val queue = member.wantedSince[team]
            val missing = wanted(member, team) - member.running[team] - queue.size
            repeat(missing) { queue.addLast(loop.milliseconds) }
            repeat(-missing) { queue.removeLastOrNull() }
            start(member, team)
        }
    }

    private fun start(member: Member, team: Int) {
        val queue = member.wantedSince[team]
        while (queue.isNotEmpty() && acquire(member, team)) {
            totals.waits += loop.milliseconds - queue.removeFirst()
            member.running[team]++
            if (members.sumOf { it.running[team] } > options.limit) totals.overLimit++
            loop.after(random.exponential(RUN_TIME)) {
                member.running[team]--
                if (options.policy != null) member.table.release(teams[team])
                if (wanted(member, team) > member.running[team] + queue.size) queue.addLast(loop.milliseconds)
                start(member, team)
            }
        }
    }

    private fun acquire(member: Member, team: Int): Boolean {
        if (options.policy != null) return member.table.tryAcquire(teams[team])
        val extra = if (member.index < options.limit % options.entries) 1 else 0
        return member.running[team] < options.limit / options.entries + extra
    }

    private fun exchange(member: Member) {
        val live = members.filter { it.isCutOff == member.isCutOff }.mapTo(HashSet<EntryIdentity>()) { it.identity }
        val asked = teams.indices.associate { teams[it] to member.running[it] + member.wantedSince[it].size }
        val report = member.table.planReport(loop.now, live, asked) ?: return
        totals.appends++
        append { it.applyReport(report) }
        val offset = log.lastIndex
        loop.after(options.logLatency) {
            member.table.recordAppend(report.sequence, AppendKnowledge.Appended)
            members.forEach { reader -> deliver(reader, offset) }
        }
    }

    private fun deliver(reader: Member, offset: Int) {
        // Readers hold a waiting read open; a cut-off entry gets the records when the partition ends.
        if (reader.isCutOff) {
            loop.at(options.cutOff.last + 1) { deliver(reader, offset) }
        } else if (reader.table.accept(Offset(offset.toLong()), log[offset])) {
            teams.indices.forEach { start(reader, it) }
        }
    }

    private fun sample() {
        if (loop.milliseconds < WARM_UP) return
        val during = loop.milliseconds in options.cutOff
        for (team in teams.indices) {
            totals.running += SAMPLE_INTERVAL * members.sumOf { it.running[team] }
            totals.possible += SAMPLE_INTERVAL * minOf(options.limit, members.sumOf { wanted(it, team) })
            if (!during) continue
            val cut = members.filter { it.isCutOff }
            totals.cutOffRunning += SAMPLE_INTERVAL * cut.sumOf { it.running[team] }
            totals.cutOffPossible += SAMPLE_INTERVAL * minOf(options.limit, cut.sumOf { wanted(it, team) })
        }
    }

    private companion object {
        const val TICK = 20L
        const val SAMPLE_INTERVAL = 100L
        const val WARM_UP = 2_000L
        const val BURST = 7_000L
        const val RUN_TIME = 250.0
    }
}
