package dogwoodgrade.membership

import dogwoodgrade.model.InstanceName

/**
 * What an entry publishes about itself: its contact with the log, the slot time used through it since it started (in
 * milliseconds, a sum that never falls), its requests in flight per instance, and the demand per queue (instances and
 * queues at 0 may be left out).
 * Instances in [watched], usually those that drain, are published at every change; other changes may wait.
 */
public data class OwnReport(
    public val contact: LogContact,
    public val usage: Map<CellName.Usage, Long>,
    public val load: Map<InstanceName, Int>,
    public val watched: Set<InstanceName> = emptySet(),
    public val demand: Map<CellName.Queue, Demand> = emptyMap(),
)

/**
 * Returns the cells to publish with [heartbeat].
 *
 * Changes of watched instances are published at once, because a drain waits until nobody shows requests there. Of all
 * other changes the largest are published until their estimated size reaches [budgetBytes] (at least one), and the
 * rest waits. When the names have reached [stateBytes], a cell of an idle endpoint is given to the new name.
 */
internal fun publishCells(
    held: List<Cell>,
    report: OwnReport,
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
    val moved =
        values
            .map { (name, value) -> movementOf(name, indexes[name], held, value) }
            .filter { it.before != it.after }
    val (watched, others) = moved.partition { it.name is CellName.Load && it.name.instance in report.watched }
    val cells = ArrayList(held)
    var bytes = held.sumOf { it.name.estimatedBytes() }
    var published = 0
    for ((position, movement) in (watched + others.sortedWith(largestFirst)).withIndex()) {
        if (position >= watched.size && published >= budgetBytes) break
        val known = indexes[movement.name]
        val size = movement.name.estimatedBytes()
        published += CELL_BYTES + if (known == null) size else 0
        if (known != null) {
            cells[known] = cells[known].copy(value = movement.after, changedAt = heartbeat)
        } else {
            val cell = Cell(movement.name, movement.after, heartbeat, heartbeat)
            val idle = if (bytes + size <= stateBytes) -1 else cells.indexOfFirst { it.isReusable(heartbeat) }
            if (idle >= 0) {
                cells[idle] = cell
            } else if (bytes + size <= stateBytes || movement in watched) {
                bytes += size
                cells += cell
            }
        }
    }
    return cells
}

private fun Cell.isReusable(heartbeat: Long): Boolean = name is CellName.Load && value == 0L && changedAt < heartbeat

private fun movementOf(name: CellName, index: Int?, held: List<Cell>, value: Long): Movement =
    Movement(name, index ?: Int.MAX_VALUE, if (index == null) 0 else held[index].value, value)

private data class Movement(val name: CellName, val index: Int, val before: Long, val after: Long) {
    /** A request in a slot, or a step of a demand, counts as much as the usage of one slot for one second. */
    val size: Long get() = if (name is CellName.Usage) abs(after - before) else abs(after - before) * LOAD_WEIGHT
}

private fun abs(value: Long): Long = if (value < 0) -value else value

/** Ties are broken by index and name, so that two runs with the same input publish the same. */
private val largestFirst: Comparator<Movement> =
    compareByDescending(Movement::size).thenBy(Movement::index).thenBy { it.name.toString() }

private const val LOAD_WEIGHT = 1_000 / USAGE_UNIT_MILLISECONDS
