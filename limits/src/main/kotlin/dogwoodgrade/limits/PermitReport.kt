package dogwoodgrade.limits

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.TeamName

/** Largest number of teams in one report; above the 350 teams that the system is designed for. */
public const val MAX_TEAMS_PER_REPORT: Int = 512

/**
 * Largest limit of a team and largest count in a report; 8,000 workers with 8 slots, the size the system is designed
 * for, need 64,000.
 */
public const val MAX_PERMITS: Int = 1_000_000

/**
 * Permits of one team that an entry releases and requests.
 *
 * @property release number of held permits that become free
 * @property take number of permits to take from the free ones; fewer are granted if fewer are free
 * @property wanted total demand of the sender: running tasks plus waiting requests
 */
public data class PermitChange(
    public val release: Int,
    public val take: Int,
    public val wanted: Int,
)

/**
 * Content of a `permits` record.
 *
 * The first report of an entry has sequence 1. A report that is appended again keeps its sequence and content, so the
 * ledger can drop the duplicate.
 */
public data class PermitReport(
    public val entry: EntryIdentity,
    public val sequence: Long,
    public val changes: Map<TeamName, PermitChange>,
)
