package dogwoodgrade.shares

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Recent run times of one pool, learned per owner and for the pool as a whole.
 *
 * The estimate is the 10th percentile of the last 32 runs: a request is refused only if nearly every recent run took
 * longer than it has left. Runs older than 30 s are ignored. Without this limit, an owner whose requests are all
 * refused would have no new run and would be refused forever.
 */
internal class RunTimes {
    private val pool = Samples()
    private val owners = LinkedHashMap<QueueOwner, Samples>()

    fun learn(owner: QueueOwner, runTime: Duration, now: Instant) {
        pool.add(runTime, now)
        owners.getOrPut(owner) { Samples() }.add(runTime, now)
    }

    /** Returns the shortest run time to expect; zero if too little is known. */
    fun shortest(owner: QueueOwner, now: Instant): Duration =
        owners[owner]?.percentile(now) ?: pool.percentile(now) ?: Duration.ZERO

    /** Removes owners without recent runs. */
    fun prune(now: Instant) {
        owners.values.removeIf { it.percentile(now) == null && it.isOld(now) }
    }

    private class Samples {
        private val nanoseconds = LongArray(CAPACITY)
        private val times = arrayOfNulls<Instant>(CAPACITY)
        private var count = 0
        private var cached: Duration? = null
        private var validUntil: Instant? = null

        fun add(runTime: Duration, now: Instant) {
            val index = count % CAPACITY
            nanoseconds[index] = runTime.inWholeNanoseconds
            times[index] = now
            // Keeps the count bounded without changing the position in the ring.
            count = if (count + 1 >= 2 * CAPACITY) CAPACITY else count + 1
            validUntil = null
        }

        fun percentile(now: Instant): Duration? {
            val until = validUntil
            if (until != null && now <= until) return cached
            val recent = times.indices.filter { index -> times[index]?.let { now - it <= MaximumAge } == true }
            validUntil = recent.mapNotNull { times[it] }.minOrNull()?.plus(MaximumAge) ?: Instant.DISTANT_FUTURE
            cached =
                if (recent.size < MINIMUM_SAMPLES) {
                    null
                } else {
                    recent.map { nanoseconds[it] }.sorted()[recent.size / 10].nanoseconds
                }
            return cached
        }

        fun isOld(now: Instant): Boolean = times.all { it == null || now - it > MaximumAge }
    }

    private companion object {
        const val CAPACITY = 32
        const val MINIMUM_SAMPLES = 8
        val MaximumAge = 30.seconds
    }
}
