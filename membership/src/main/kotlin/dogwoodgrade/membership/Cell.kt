package dogwoodgrade.membership

import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.TeamName

/** Identifies one number that a member publishes. */
public sealed interface CellName {
    /** Slot time that [team], or `null` for the open queues, has used in [pool] through the member since it started. */
    public data class Usage(public val pool: PoolName, public val team: TeamName?) : CellName

    /** Demand of [team], or `null` for the open queues, for [pool] at the member; see [Demand]. */
    public data class Queue(public val pool: PoolName, public val team: TeamName?) : CellName

    /** Requests of the member in flight on the endpoint of [instance]. */
    public data class Load(public val instance: InstanceName) : CellName
}

/**
 * One published number.
 *
 * In a copy that was received from a peer, [changedAt] and [namedAt] may be too large; at worst, a cell is then sent
 * twice.
 *
 * @property value number of requests for a load, units of [USAGE_UNIT_MILLISECONDS] for a usage, and the result of
 * [Demand.toValue] for a queue
 * @property changedAt heartbeat of the publishing member at which [value] last changed
 * @property namedAt heartbeat of the publishing member at which [name] last changed
 */
public data class Cell(
    public val name: CellName,
    public val value: Long,
    public val changedAt: Long,
    public val namedAt: Long,
)

/**
 * New value of a cell.
 *
 * @property index position of the cell in the member's list
 * @property name name of the cell, or `null` if the receiver knows it
 * @property age number of heartbeats between the change of the cell and the heartbeat of the state, at most
 * [MAX_CELL_AGE]; it lets the receiver skip members that have the cell when it passes the state on
 */
public data class CellUpdate(
    public val index: Int,
    public val name: CellName?,
    public val value: Long,
    public val age: Int = 0,
)

/** Largest encoded age of a cell, in heartbeats. It takes one byte, and older cells are rarely requested. */
public const val MAX_CELL_AGE: Int = 127

/**
 * Unit of published usage, in milliseconds of one slot.
 *
 * Usage is published as a counter that never decreases, so an idle team takes no bytes. With this unit, a team with
 * little work is not published every second.
 */
public const val USAGE_UNIT_MILLISECONDS: Long = 64

/** Returns the estimated encoded size of this name in bytes, with tags and lengths. */
internal fun CellName.estimatedBytes(): Int =
    when (this) {
        is CellName.Usage -> pool.text.length + (team?.text?.length ?: 0) + NAME_OVERHEAD_BYTES
        is CellName.Queue -> pool.text.length + (team?.text?.length ?: 0) + NAME_OVERHEAD_BYTES
        is CellName.Load -> instance.text.length + NAME_OVERHEAD_BYTES
    }

private const val NAME_OVERHEAD_BYTES = 8
