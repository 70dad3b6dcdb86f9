package dogwoodgrade.shares

import dogwoodgrade.model.TeamName

/** Owner to whose usage a request counts. All open queues of a pool together count as one team. */
public sealed interface QueueOwner {
    /** A team, identified by the key that its callers present. */
    public data class Team(public val name: TeamName) : QueueOwner

    /** The open queues, which need no key and no permit. */
    public data object Open : QueueOwner
}
