package dogwoodgrade.entry

import dogwoodgrade.control.ControlState
import dogwoodgrade.shares.QueueOwner

/** Returns the weights of the teams in the fair queues; the open queues together have weight 1. */
internal fun teamSharesOf(state: ControlState): Map<QueueOwner, Double> =
    state.configuration.teams.values
        .associate { QueueOwner.Team(it.name) to it.share.toDouble() }
