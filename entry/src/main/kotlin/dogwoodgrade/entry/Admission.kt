package dogwoodgrade.entry

import dogwoodgrade.configuration.Pool
import dogwoodgrade.configuration.Team
import dogwoodgrade.control.ControlState
import dogwoodgrade.membership.FreshnessStatus
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.ResultCode
import dogwoodgrade.shares.QueueOwner

/** The [pool] and queue [owner] that an admitted request is assigned to. */
internal data class Admission(val pool: Pool, val owner: QueueOwner)

/**
 * Decides whether the entry may accept [request], based on the folded [state].
 *
 * The check runs when the request arrives and again right before it starts, because the key may be withdrawn or the
 * entry may become stale while the request waits.
 */
internal fun admit(state: ControlState, request: CallerRequest, freshness: FreshnessStatus): Outcome<Admission> {
    if (state.offset == Offset.Zero) return Failure(ResultCode.Starting, "the entry has no configuration yet")
    val pool =
        state.configuration.poolOf(request.service)
            ?: return Failure(ResultCode.UnknownService, "no pool serves ${request.service}")
    if (pool.open) return Success(Admission(pool, QueueOwner.Open))
    val team =
        when (val found = teamOf(state, request)) {
            is Failure -> return found
            is Success -> found.value
        }
    return if (isTooStale(team, freshness)) {
        Failure(ResultCode.RefusedWhenStale, "the configuration is older than team ${team.name} allows")
    } else {
        Success(Admission(pool, QueueOwner.Team(team.name)))
    }
}

private fun teamOf(state: ControlState, request: CallerRequest): Outcome<Team> {
    val jobTeam = request.jobTeam
    if (jobTeam != null) {
        return state.configuration.teams[jobTeam]?.let { Success(it) }
            ?: Failure(ResultCode.UnknownTeam, "team $jobTeam does not exist")
    }
    val key = request.key ?: return Failure(ResultCode.MissingKey, "service ${request.service} needs a key")
    return state.configuration.teamOf(key)?.let { Success(it) }
        ?: Failure(ResultCode.UnknownKey, "the key is not given to any team")
}

private fun isTooStale(team: Team, freshness: FreshnessStatus): Boolean {
    val maximumAge = team.refuseWhenStaleAfter ?: return false
    if (freshness !is FreshnessStatus.Stale) return false
    val age = freshness.age ?: return true
    return age > maximumAge
}
