package dogwoodgrade.scheduling

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Time constant of the measured rates. A machine needs about two seconds to join a pool, so that a longer one would show
 * a burst too late; a shorter one would take a single job for a burst.
 */
private val averagingTime: Duration = 1.seconds

/**
 * Measures the batch work that arrives for each pool, as the resources that it keeps busy if it goes on arriving.
 *
 * What runs and waits shows only the first steps of the jobs that have come so far; the rate shows a burst before its
 * tasks have filled the pool.
 */
internal class ArrivalMeter {
    private val rates = mutableMapOf<String, Rate>()

    /** Counts a job that has just been accepted for [pool]. */
    fun add(pool: String, job: Job, now: Instant) {
        val rate = rates.getOrPut(pool) { Rate(now) }
        rate.decay(now)
        for (step in job.steps) {
            if (step.longRunning) continue
            val work = step.count * step.estimate.toDouble(DurationUnit.SECONDS) / averagingTime.inWholeSeconds
            rate.processor += step.reserved.processor * work
            rate.memory += step.reserved.memory * work
            rate.accelerators += step.reserved.accelerators * work
        }
    }

    /** Returns the resources that the work arriving for [pool] keeps busy. */
    fun rate(pool: String, now: Instant): Resources {
        val rate = rates[pool] ?: return Resources.None
        rate.decay(now)
        return Resources(rate.processor.toLong(), rate.memory.toLong(), rate.accelerators.toLong())
    }

    private class Rate(
        private var at: Instant,
    ) {
        var processor = 0.0
        var memory = 0.0
        var accelerators = 0.0

        fun decay(now: Instant) {
            val factor = exp(-((now - at).coerceAtLeast(Duration.ZERO) / averagingTime))
            processor *= factor
            memory *= factor
            accelerators *= factor
            at = maxOf(at, now)
        }
    }
}
