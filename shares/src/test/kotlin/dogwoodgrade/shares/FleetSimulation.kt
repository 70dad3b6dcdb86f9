package dogwoodgrade.shares

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.TeamName
import java.util.PriorityQueue
import kotlin.math.abs
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

internal val TEST_POOL = PoolName("pool")
internal val START = Instant.fromEpochMilliseconds(0)

internal fun team(name: String): QueueOwner = QueueOwner.Team(TeamName(name))

internal fun at(milliseconds: Long): Instant = START + milliseconds.milliseconds

/** Load of one team: [perSecond] requests arrive per second, distributed over the entries by [weights]. */
internal data class TeamLoad(
    val name: String,
    val share: Double,
    val perSecond: Double,
    val weights: List<Double>,
    val requestClass: RequestClass = RequestClass.Normal,
    val from: Long = 0,
    val until: Long = Long.MAX_VALUE,
    val runTime: (Random) -> Long,
)

/**
 * Simulates several entries in front of one pool, in virtual time. An entry sees at once that its own task has ended;
 * it sees other free slots with its tick every 50 ms. As in the entries, the reserve is the number of free slots that
 * normal work leaves free. Reports are taken every second and arrive 100 to 700 ms later.
 */
internal class FleetSimulation(
    private val loads: List<TeamLoad>,
    private val slots: Int,
    private val seed: Long,
    private val reserve: Int = 0,
    policy: SelectionPolicy = leastUsagePerShare,
    private val exchangeReports: Boolean = true,
) {
    private class Event(val at: Long, val order: Long, val run: () -> Unit)

    private class Run(val load: TeamLoad, val from: Long, val until: Long)

    private val random = Random(seed)
    private val entryCount = loads.first().weights.size
    private val tables = List(entryCount) { QueueTable(policy = policy) }
    private val events = PriorityQueue<Event>(compareBy(Event::at, Event::order))
    private val runs = ArrayList<Run>()
    private val loadOf = HashMap<RequestIdentifier, TeamLoad>()
    private val arrivals = HashMap<RequestIdentifier, Long>()
    private var eventCount = 0L
    private var now = 0L
    private var used = 0

    /** Longest wait of an urgent request until its start, in milliseconds. */
    var longestUrgentWait = 0L
        private set
    var urgentStarts = 0
        private set

    fun run(milliseconds: Long): FleetSimulation {
        tables.forEach { table -> table.configure(loads.associate { team(it.name) to it.share }) }
        loads.forEach { load -> schedule(load.from) { arrive(load) } }
        tables.indices.forEach { index ->
            schedule(index * 7L) { tick(index) }
            if (exchangeReports) schedule(index * 137L) { gossip(index) }
        }
        while (true) {
            val event = events.poll() ?: break
            if (event.at > milliseconds) break
            now = event.at
            event.run()
        }
        return this
    }

    private fun schedule(time: Long, run: () -> Unit) {
        events.add(Event(time, eventCount++, run))
    }

    private fun arrive(load: TeamLoad) {
        if (now > load.until) return
        schedule(
            now + (-ln(1 - random.nextDouble()) * 1000 / load.perSecond).toLong().coerceAtLeast(1),
        ) { arrive(load) }
        val index = pick(load.weights)
        val identifier = RequestIdentifier("r$eventCount")
        val request =
            WaitingRequest(identifier, TEST_POOL, team(load.name), load.requestClass, at(now), at(now + 3_600_000))
        if (tables[index].offer(request, at(now)) == OfferResult.Queued) {
            loadOf[identifier] = load
            arrivals[identifier] = now
            startAll(index)
        }
    }

    private fun pick(weights: List<Double>): Int {
        var left = random.nextDouble() * weights.sum()
        return weights.indexOfFirst { weight -> weight.also { left -= it } > 0 && left < 0 }.coerceAtLeast(0)
    }

    private fun startAll(index: Int) {
        while (true) {
            val normal = slots - reserve - used
            val free = FreeSlots(normal, slots - used)
            val request = tables[index].takeNext(TEST_POOL, at(now), free) { true }.started ?: return
            used++
            val load = loadOf.getValue(request.identifier)
            if (load.requestClass == RequestClass.Urgent) {
                longestUrgentWait = maxOf(longestUrgentWait, now - arrivals.getValue(request.identifier))
                urgentStarts++
            }
            val end = now + load.runTime(random)
            runs += Run(load, now, end)
            schedule(end) {
                used--
                tables[index].end(request.identifier, RunEnd.Completed, at(now))
                startAll(index)
            }
        }
    }

    private fun tick(index: Int) {
        startAll(index)
        schedule(now + 50) { tick(index) }
    }

    private fun gossip(index: Int) {
        val snapshot = tables[index].snapshot(at(now))
        val takenAt = now
        val identity = EntryIdentity(EntryName("entry-$index"), 1)
        for ((peer, table) in tables.withIndex()) {
            if (peer == index) continue
            schedule(now + random.nextLong(100, 700)) { table.report(identity, snapshot, at(takenAt), at(now)) }
        }
        schedule(now + 1_000) { gossip(index) }
    }

    /** Returns the slot time of team [name] within a window, in slot-milliseconds. */
    fun slotTime(name: String, from: Long, until: Long): Long =
        runs.filter { it.load.name == name }.sumOf { (minOf(it.until, until) - maxOf(it.from, from)).coerceAtLeast(0) }

    /** Returns the fraction of the slot time between [from] and [until] that was used. */
    fun utilisation(from: Long, until: Long): Double =
        loads
            .map { it.name }
            .distinct()
            .sumOf { slotTime(it, from, until) }
            .toDouble() / (slots * (until - from))

    /** Returns the largest relative deviation from a share over all windows of 10 s, with its team and window start. */
    fun largestDeviation(from: Long, until: Long, names: List<String>): Triple<Double, String, Long> =
        (from..until - 10_000 step 500)
            .flatMap { start ->
                val used = names.associateWith { slotTime(it, start, start + 10_000).toDouble() }
                val shares = names.associateWith { name -> loads.first { it.name == name }.share }
                names.map { name ->
                    val expected = used.values.sum() * shares.getValue(name) / shares.values.sum()
                    Triple(abs(used.getValue(name) / expected - 1), name, start)
                }
            }.maxBy { it.first }
}
