package dogwoodgrade.node

import dogwoodgrade.scheduling.Scheduler
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The schedule of the fleet behind its lock (number 1 in the lock order).
 *
 * The other tables may be read while the lock is held, never the other way round.
 */
internal class FleetTable(
    private val scheduler: Scheduler,
) {
    private val lock = ReentrantLock()

    /** Runs [decide] with the schedule; it must not suspend. */
    fun <T> withSchedule(decide: (Scheduler) -> T): T = lock.withLock { decide(scheduler) }
}
