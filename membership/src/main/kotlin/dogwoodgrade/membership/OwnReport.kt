package dogwoodgrade.membership

import dogwoodgrade.model.InstanceName

/**
 * What an entry publishes about itself: its contact with the log, the slot time used through it since it started (in
 * milliseconds, a sum that never falls), and its requests in flight per instance (instances at 0 may be left out).
 */
public data class OwnReport(
    public val contact: LogContact,
    public val usage: Map<CellName.Usage, Long>,
    public val load: Map<InstanceName, Int>,
)

/** Cells after a tick; [complete] is false when a running request could not be listed. */
internal data class PublishedCells(
    val cells: List<Cell>,
    val complete: Boolean,
)

/**
 * Returns the cells to publish with [heartbeat]. Every endpoint that gets its first request is listed at once, because
 * a drain waits until nobody shows requests there; of all other changes the [budget] largest are published, and the
 * rest waits for a later tick. A cell of an idle endpoint is given to another name when the state has reached
 * [stateBytes].
 */
internal fun publishCells(
    held: List<Cell>,
    report: OwnReport,
    heartbeat: Long,
    budget: Int,
    stateBytes: Int,
): PublishedCells {
    val values = HashMap<CellName, Long>()
    report.usage.forEach { (name, milliseconds) -> values[name] = milliseconds / USAGE_UNIT_MILLISECONDS }
    report.load.forEach { (instance, requests) -> values[CellName.Load(instance)] = requests.toLong() }
    val indexes = HashMap<CellName, Int>()
    held.forEachIndexed { index, cell ->
        indexes[cell.name] = index
        if (cell.name is CellName.Load) values.putIfAbsent(cell.name, 0)
    }
    val moved =
        values
            .map { (name, value) -> Movement(name, indexes[name]?.let { held[it].value } ?: 0, value) }
            .filter { it.before != it.after }
    val (firstRequests, others) = moved.partition { it.isFirstRequest }
    val cells = ArrayList(held)
    var bytes = held.sumOf { it.name.estimatedBytes() }
    var complete = true
    for (movement in firstRequests + others.sortedWith(largestFirst).take(budget)) {
        val known = indexes[movement.name]
        val size = movement.name.estimatedBytes()
        if (known != null) {
            cells[known] = cells[known].copy(value = movement.after, changedAt = heartbeat)
        } else if (bytes + size <= stateBytes) {
            bytes += size
            cells += Cell(movement.name, movement.after, heartbeat, heartbeat)
        } else {
            val idle = cells.indexOfFirst { it.name is CellName.Load && it.value == 0L && it.changedAt < heartbeat }
            if (idle >= 0) {
                cells[idle] = Cell(movement.name, movement.after, heartbeat, heartbeat)
            } else if (movement.name is CellName.Load) {
                complete = false
            }
        }
    }
    return PublishedCells(cells, complete)
}

private data class Movement(val name: CellName, val before: Long, val after: Long) {
    val isFirstRequest: Boolean get() = name is CellName.Load && before == 0L

    /** A request that occupies a slot counts as much as the usage of one slot for one second. */
    val size: Long get() = if (name is CellName.Load) abs(after - before) * LOAD_WEIGHT else abs(after - before)
}

private fun abs(value: Long): Long = if (value < 0) -value else value

/** Ties are broken by name, so that two runs with the same input publish the same. */
private val largestFirst: Comparator<Movement> =
    compareByDescending(Movement::size).thenBy { it.name.toString() }

private const val LOAD_WEIGHT = 1_000 / USAGE_UNIT_MILLISECONDS
