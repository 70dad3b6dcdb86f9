package dogwoodgrade.routing

import dogwoodgrade.model.TeamName
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Instant

/** Largest number of retries per request of the same team in the window. */
private const val MAX_RETRIES_PER_REQUEST = 0.1

/**
 * Retry budgets of teams: within the last 10 s, the retries of a team are at most 10% of its requests, but the first
 * retry in each second is always granted. The budget prevents a fault of the endpoints from multiplying the load.
 *
 * Guarded by one lock, number 6 in the lock order of the entry process.
 */
public class RetryBudgetTable {
    private val lock = ReentrantLock()
    private val windows = HashMap<TeamName, Map<Long, RetryCounts>>()

    /** Counts a request of [team]; call it once per request, not per attempt. */
    public fun recordRequest(team: TeamName, now: Instant) {
        lock.withLock { add(team, now, RetryCounts(requests = 1)) }
    }

    /** Takes one retry from the budget of [team], if it is granted. */
    public fun takeRetry(team: TeamName, now: Instant): RetryBudgetAnswer =
        lock.withLock {
            val recent = recentOf(team, now)
            val requests = recent.values.sumOf(RetryCounts::requests)
            val retries = recent.values.sumOf(RetryCounts::retries)
            val firstInSecond = (recent[now.epochSeconds]?.retries ?: 0) == 0
            if (firstInSecond || retries + 1 <= requests * MAX_RETRIES_PER_REQUEST) {
                add(team, now, RetryCounts(retries = 1))
                RetryBudgetAnswer.Granted
            } else {
                RetryBudgetAnswer.Exhausted
            }
        }

    /** Removes the teams that made no request in the window; call it about once a second. */
    public fun removeIdle(now: Instant) {
        lock.withLock { windows.keys.removeIf { recentOf(it, now).isEmpty() } }
    }

    private fun recentOf(team: TeamName, now: Instant): Map<Long, RetryCounts> =
        windows[team].orEmpty().filterKeys { it > now.epochSeconds - WINDOW_SECONDS }

    private fun add(team: TeamName, now: Instant, added: RetryCounts) {
        val recent = recentOf(team, now)
        val current = recent[now.epochSeconds] ?: RetryCounts()
        val sum = RetryCounts(current.requests + added.requests, current.retries + added.retries)
        windows[team] = recent + (now.epochSeconds to sum)
    }

    private data class RetryCounts(val requests: Int = 0, val retries: Int = 0)
}
