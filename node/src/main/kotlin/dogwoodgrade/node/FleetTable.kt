package dogwoodgrade.node

import dogwoodgrade.scheduling.Scheduler
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The scheduler of the fleet, guarded by its own lock (number 1 in the lock order of the node process).
 *
 * The other tables may be read while this lock is held, but this lock must not be taken while theirs are held.
 */
internal class FleetTable(
    private val scheduler: Scheduler,
) {
    private val lock = ReentrantLock()

    /** Runs [decide] with the scheduler while holding the lock; it must not suspend. */
    fun <T> withSchedule(decide: (Scheduler) -> T): T = lock.withLock { decide(scheduler) }
}
