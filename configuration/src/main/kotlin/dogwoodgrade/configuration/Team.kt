package dogwoodgrade.configuration

import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import kotlin.time.Duration

/**
 * A customer with keys, a share and an upper limit.
 *
 * @property share weight of the team against other teams when a pool is saturated; 1 or more
 * @property upperLimit largest number of tasks that the team may run at the same time in the whole fleet
 * @property refuseWhenStaleAfter age of an entry's configuration above which the entry refuses the team's requests;
 * `null` means that a partitioned entry continues to serve the team
 * @property version number of accepted changes of this team
 */
public data class Team(
    public val name: TeamName,
    public val share: Int,
    public val upperLimit: Int,
    public val refuseWhenStaleAfter: Duration?,
    public val version: Version,
) {
    public companion object {
        /** Largest share and largest upper limit of a team. */
        public const val MAX_SHARE_OR_UPPER_LIMIT: Int = 1_000_000
    }
}
