package dogwoodgrade.samples

import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.TeamName
import dogwoodgrade.shares.FreeSlots
import dogwoodgrade.shares.QueueOwner
import dogwoodgrade.shares.QueueTable
import dogwoodgrade.shares.WaitingRequest
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * A weighted fair queue without the rest of the system. Two teams with the given shares always have requests waiting;
 * returns how many of [slots] slots each team gets.
 */
public fun divideSlots(firstShare: Double, secondShare: Double, slots: Int, now: Instant): Pair<Int, Int> {
    val pool = PoolName("pricing")
    val teams = listOf(TeamName("first"), TeamName("second"))
    val queues = QueueTable()
    queues.configure(mapOf(QueueOwner.Team(teams[0]) to firstShare, QueueOwner.Team(teams[1]) to secondShare))
    for (team in teams) {
        repeat(slots) { index ->
            val identifier = RequestIdentifier("$team-$index")
            val owner = QueueOwner.Team(team)
            queues.offer(WaitingRequest(identifier, pool, owner, RequestClass.Normal, now, now + 1.minutes), now)
        }
    }
    val started =
        List(slots) { used ->
            queues.takeNext(pool, now, FreeSlots(slots - used, slots - used), permit = { true }).started?.owner
        }
    return started.count { it == QueueOwner.Team(teams[0]) } to started.count { it == QueueOwner.Team(teams[1]) }
}
