package dogwoodgrade.membership

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity

/** Properties of a member that do not change while its process runs. */
public data class Introduction(
    public val identity: EntryIdentity,
    public val zone: AvailabilityZone,
    public val address: PeerAddress,
)

/** State of a member at one of its heartbeats. [heartbeat] counts the member's ticks, one per second, from 1. */
public data class MemberState(
    public val introduction: Introduction,
    public val heartbeat: Long,
    public val contact: LogContact,
    public val cells: List<Cell>,
) {
    /** Short key of the member's identity. */
    public val key: MemberKey = MemberKey.of(introduction.identity)
}

/**
 * Change of a member's state from the heartbeat [base] to [heartbeat]. If [introduction] is present, [base] is 0 and
 * [cells] lists every cell.
 */
public data class MemberDelta(
    public val key: MemberKey,
    public val introduction: Introduction?,
    public val base: Long,
    public val heartbeat: Long,
    public val contact: LogContact,
    public val cells: List<CellUpdate>,
)

/**
 * Applies [delta] to the [held] state. The larger pair of incarnation and heartbeat wins.
 *
 * A delta that is not newer than the held state has no effect, nor has one whose base is newer, which happens after
 * messages were lost. The next digest then requests the changes since the held heartbeat again.
 */
public fun merge(held: MemberState?, delta: MemberDelta): MemberState? {
    val introduction = delta.introduction
    if (introduction != null) {
        val state = MemberState(introduction, delta.heartbeat, delta.contact, completeCells(delta))
        if (held == null) return state
        require(held.introduction.identity.name == introduction.identity.name) {
            "the delta of member ${introduction.identity.name} was applied to member ${held.introduction.identity.name}"
        }
        return if (held.isOlderThan(state)) state else held
    }
    if (held == null || held.key != delta.key || held.heartbeat !in delta.base until delta.heartbeat) return held
    val cells = updatedCells(held.cells, delta) ?: return held
    return held.copy(
        heartbeat = delta.heartbeat,
        contact = delta.contact,
        cells = cells,
    )
}

/** Returns the change since the heartbeat [base]; 0 stands for the complete state. */
public fun MemberState.deltaSince(base: Long): MemberDelta =
    MemberDelta(
        key = key,
        introduction = introduction.takeIf { base == 0L },
        base = base,
        heartbeat = heartbeat,
        contact = contact,
        cells =
            cells.withIndex().filter { it.value.changedAt > base }.map { (index, cell) ->
                val age = (heartbeat - cell.changedAt).coerceIn(0, MAX_CELL_AGE.toLong()).toInt()
                CellUpdate(index, cell.name.takeIf { cell.namedAt > base }, cell.value, age)
            },
    )

/** Returns the estimated encoded size of this change in bytes. */
public fun MemberDelta.estimatedBytes(): Int =
    DELTA_OVERHEAD_BYTES +
        (introduction?.let { it.address.host.length + it.identity.name.text.length + it.zone.text.length } ?: 0) +
        cells.sumOf { ESTIMATED_CELL_BYTES + (it.name?.estimatedBytes() ?: 0) }

private fun MemberState.isOlderThan(other: MemberState): Boolean =
    compareValuesBy(this, other, { it.introduction.identity.incarnation }, MemberState::heartbeat) < 0

private fun completeCells(delta: MemberDelta): List<Cell> =
    requireNotNull(updatedCells(emptyList(), delta)) {
        "the complete state of member key ${delta.key.bits} lacks a cell or the name of a cell"
    }

/** Returns the cells after [delta], or `null` if an unknown cell has no name or if the indexes have a gap. */
private fun updatedCells(held: List<Cell>, delta: MemberDelta): List<Cell>? {
    val cells = ArrayList(held)
    for (update in delta.cells) {
        val previous = cells.getOrNull(update.index)
        val name = update.name ?: previous?.name ?: return null
        val changedAt = delta.heartbeat - update.age
        val namedAt = if (update.name == null) previous?.namedAt ?: return null else changedAt
        val cell = Cell(name, update.value, changedAt, namedAt)
        when {
            previous != null -> cells[update.index] = cell
            update.index == cells.size -> cells += cell
            else -> return null
        }
    }
    return cells
}

private const val DELTA_OVERHEAD_BYTES = 40

/** Estimated encoded size of a cell's index step, age and value, in bytes. */
internal const val ESTIMATED_CELL_BYTES: Int = 5
