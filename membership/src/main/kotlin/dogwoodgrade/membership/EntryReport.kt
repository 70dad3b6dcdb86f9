package dogwoodgrade.membership

import dogwoodgrade.model.InstanceName

/**
 * Current values of what an entry publishes about itself.
 *
 * @property contact contact of the entry with the log
 * @property usage slot time used through the entry since it started, in milliseconds; it never decreases
 * @property load requests in flight per instance; instances without requests may be left out
 * @property watched instances whose load is published at every change, usually those that are draining; other changes
 * may be published later
 * @property demand demand per queue; queues without demand may be left out
 */
public data class EntryReport(
    public val contact: LogContact,
    public val usage: Map<CellName.Usage, Long>,
    public val load: Map<InstanceName, Int>,
    public val watched: Set<InstanceName> = emptySet(),
    public val demand: Map<CellName.Queue, Demand> = emptyMap(),
)

/**
 * Returns the cells to publish with [heartbeat].
 *
 * Changes of watched instances are published at once, because a drain ends only when no entry reports requests there.
 * Of the other changes, the largest are published until their estimated size reaches [budgetBytes], at least one; the
 * rest is published with later heartbeats. When the names take [stateBytes], a new name replaces that of an idle
 * endpoint.
 */
internal fun publishCells(
    held: List<Cell>,
    report: EntryReport,
    heartbeat: Long,
    budgetBytes: Int,
    stateBytes: Int,
): List<Cell> {
    val values = HashMap<CellName, Long>()
    report.usage.forEach { (name, milliseconds) -> values[name] = milliseconds / USAGE_UNIT_MILLISECONDS }
    report.load.forEach { (instance, requests) -> values[CellName.Load(instance)] = requests.toLong() }
    report.demand.forEach { (name, demand) -> values[name] = demand.toValue() }
    val indexes = HashMap<CellName, Int>()
    held.forEachIndexed { index, cell ->
        indexes[cell.name] = index
        if (cell.name !is CellName.Usage) values.putIfAbsent(cell.name, 0)
    }
    val changes =
        values
            .map { (name, value) -> changeOf(name, indexes[name], held, value) }
            .filter { it.before != it.after }
    val (watched, others) = changes.partition { it.name is CellName.Load && it.name.instance in report.watched }
    val cells = ArrayList(held)
    var bytes = held.sumOf { it.name.estimatedBytes() }
    var published = 0
    for ((position, change) in (watched + others.sortedWith(largestFirst)).withIndex()) {
        if (position >= watched.size && published >= budgetBytes) break
        val knownIndex = indexes[change.name]
        val size = change.name.estimatedBytes()
        published += ESTIMATED_CELL_BYTES + if (knownIndex == null) size else 0
        if (knownIndex != null) {
            cells[knownIndex] = cells[knownIndex].copy(value = change.after, changedAt = heartbeat)
        } else {
            val cell = Cell(change.name, change.after, heartbeat, heartbeat)
            val idle = if (bytes + size <= stateBytes) -1 else cells.indexOfFirst { it.isReusable(heartbeat) }
            if (idle >= 0) {
                cells[idle] = cell
            } else if (bytes + size <= stateBytes || change in watched) {
                bytes += size
                cells += cell
            }
        }
    }
    return cells
}

private fun Cell.isReusable(heartbeat: Long): Boolean = name is CellName.Load && value == 0L && changedAt < heartbeat

private fun changeOf(name: CellName, index: Int?, held: List<Cell>, value: Long): CellChange =
    CellChange(name, index ?: Int.MAX_VALUE, if (index == null) 0 else held[index].value, value)

private data class CellChange(val name: CellName, val index: Int, val before: Long, val after: Long) {
    /** Weight of the change. A request in flight or a step of a demand counts as much as one slot-second of usage. */
    val size: Long
        get() = if (name is CellName.Usage) abs(after - before) else abs(after - before) * USAGE_UNITS_PER_SLOT_SECOND
}

private fun abs(value: Long): Long = if (value < 0) -value else value

/** Ties are broken by index and name, so that the same input always publishes the same cells. */
private val largestFirst: Comparator<CellChange> =
    compareByDescending(CellChange::size).thenBy(CellChange::index).thenBy { it.name.toString() }

private const val USAGE_UNITS_PER_SLOT_SECOND = 1_000 / USAGE_UNIT_MILLISECONDS
