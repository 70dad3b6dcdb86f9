package dogwoodgrade.shares

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Recent run times of one pool, recorded per owner and for the pool as a whole.
 *
 * The estimate is the 10th percentile of the last 32 runs: a request is refused only if nearly every recent run took
 * longer than the time left to its deadline. Runs older than 30 s are ignored. Without this limit, an owner whose
 * requests are all refused would record no new run and would be refused forever.
 */
internal class RunTimes {
    private val pool = Samples()
    private val owners = LinkedHashMap<QueueOwner, Samples>()

    fun record(owner: QueueOwner, runTime: Duration, now: Instant) {
        pool.add(runTime, now)
        owners.getOrPut(owner) { Samples() }.add(runTime, now)
    }

    /** Returns the shortest run time to expect; zero if there are too few samples. */
    fun shortest(owner: QueueOwner, now: Instant): Duration =
        owners[owner]?.percentile(now) ?: pool.percentile(now) ?: Duration.ZERO

    /** Removes owners without recent runs. */
    fun prune(now: Instant) {
        owners.values.removeIf { it.percentile(now) == null && it.isOld(now) }
    }

    private class Samples {
        private val nanoseconds = LongArray(SAMPLE_CAPACITY)
        private val times = arrayOfNulls<Instant>(SAMPLE_CAPACITY)
        private var count = 0
        private var cached: Duration? = null
        private var validUntil: Instant? = null

        fun add(runTime: Duration, now: Instant) {
            val index = count % SAMPLE_CAPACITY
            nanoseconds[index] = runTime.inWholeNanoseconds
            times[index] = now
            // Prevents an overflow of the count without changing the position in the ring buffer.
            count = if (count + 1 >= 2 * SAMPLE_CAPACITY) SAMPLE_CAPACITY else count + 1
            validUntil = null
        }

        fun percentile(now: Instant): Duration? {
            val until = validUntil
            if (until != null && now <= until) return cached
            val recent = times.indices.filter { index -> times[index]?.let { now - it <= MAX_SAMPLE_AGE } == true }
            validUntil = recent.mapNotNull { times[it] }.minOrNull()?.plus(MAX_SAMPLE_AGE) ?: Instant.DISTANT_FUTURE
            cached =
                if (recent.size < MIN_SAMPLES) {
                    null
                } else {
                    recent.map { nanoseconds[it] }.sorted()[recent.size / 10].nanoseconds
                }
            return cached
        }

        fun isOld(now: Instant): Boolean = times.all { it == null || now - it > MAX_SAMPLE_AGE }
    }

    private companion object {
        const val SAMPLE_CAPACITY = 32
        const val MIN_SAMPLES = 8
        val MAX_SAMPLE_AGE = 30.seconds
    }
}
