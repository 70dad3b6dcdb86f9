package dogwoodgrade.membership

import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.TeamName

/** Meaning of one number that a member publishes. */
public sealed interface CellName {
    /** Slot time that [team], or `null` for the open queues, has used in [pool] through the member since it started. */
    public data class Usage(public val pool: PoolName, public val team: TeamName?) : CellName

    /** Demand of [team], or `null` for the open queues, for [pool] at the member; see [Demand]. */
    public data class Queue(public val pool: PoolName, public val team: TeamName?) : CellName

    /** Requests of the member in flight on the endpoint of [instance]. */
    public data class Load(public val instance: InstanceName) : CellName
}

/**
 * One published number. [value] counts requests for a load and units of [USAGE_UNIT_MILLISECONDS] for a usage, and is
 * [Demand.toValue] for a queue.
 * [changedAt] and [namedAt] are heartbeats of the owner: the value and the name have not changed after them. In a copy
 * received from a peer they may be too large, which at worst repeats a cell in a message.
 */
public data class Cell(
    public val name: CellName,
    public val value: Long,
    public val changedAt: Long,
    public val namedAt: Long,
)

/**
 * New value of the cell at [index], which moved [age] heartbeats before the state's; [name] is present if the receiver
 * may not know it. The age keeps a peer from passing the cell on to members that have it.
 */
public data class CellUpdate(
    public val index: Int,
    public val name: CellName?,
    public val value: Long,
    public val age: Int = 0,
)

/** Largest age of a cell in a message, in heartbeats; it takes one byte, and older cells are rarely asked for. */
public const val MAX_CELL_AGE: Int = 127

/**
 * Unit of published usage, in milliseconds of one slot. Usage is published as a sum that only grows, so an idle team
 * costs no bytes; the unit keeps teams with little work from being published every second.
 */
public const val USAGE_UNIT_MILLISECONDS: Long = 64

/** Estimated bytes of the name of a cell in a message, with tags and lengths. */
internal fun CellName.estimatedBytes(): Int =
    when (this) {
        is CellName.Usage -> pool.text.length + (team?.text?.length ?: 0) + NAME_OVERHEAD_BYTES
        is CellName.Queue -> pool.text.length + (team?.text?.length ?: 0) + NAME_OVERHEAD_BYTES
        is CellName.Load -> instance.text.length + NAME_OVERHEAD_BYTES
    }

private const val NAME_OVERHEAD_BYTES = 8
