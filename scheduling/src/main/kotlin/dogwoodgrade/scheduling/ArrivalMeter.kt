package dogwoodgrade.scheduling

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Time constant of the measured rates. A machine needs about two seconds to join a pool, so that a longer one would
 * show a burst too late; a shorter one would take a single job for a burst.
 */
private val averagingTime: Duration = 1.seconds

/** Time constant of the rates that the others are compared with to see a trend. */
private val trendTime: Duration = 3.seconds

/** How far ahead of the measured rate a rise is followed: the lag of the rate and the time a machine needs to join. */
private val forecastTime: Duration = 3.seconds

/** Jobs within the averaging time below which there is no trend; one large job looks like the beginning of a burst. */
private const val JOBS_OF_TREND: Double = 2.5

/**
 * Measures the batch work that arrives for each pool, as the resources that it keeps busy if it goes on arriving.
 *
 * What runs and waits shows only the first steps of the jobs that have come so far; the rate shows a burst before its
 * tasks have filled the pool. While a burst rises, the rate is extrapolated to the time at which a machine that is
 * ordered now has joined.
 */
internal class ArrivalMeter {
    private val rates = mutableMapOf<String, Rates>()

    /** Counts a job that has just been accepted for [pool]. */
    fun add(pool: String, job: Job, now: Instant) {
        val rate = rates.getOrPut(pool) { Rates() }
        for (step in job.steps) {
            if (step.longRunning) continue
            val work = step.count * step.estimate.toDouble(DurationUnit.SECONDS)
            rate.processor.add(step.reserved.processor * work, now)
            rate.memory.add(step.reserved.memory * work, now)
            rate.accelerators.add(step.reserved.accelerators * work, now)
        }
        rate.jobs.add(1.0, now)
    }

    /** Returns the resources that the work arriving for [pool] keeps busy when a machine could have joined. */
    fun rate(pool: String, now: Instant): Resources {
        val rate = rates[pool] ?: return Resources.None
        val rising = rate.jobs.value(now) >= JOBS_OF_TREND

        fun amount(measured: Trend) = if (rising) measured.forecast(now) else measured.value(now)
        return Resources(
            amount(rate.processor).toLong(),
            amount(rate.memory).toLong(),
            amount(rate.accelerators).toLong(),
        )
    }

    private class Rates {
        val processor = Trend()
        val memory = Trend()
        val accelerators = Trend()
        val jobs = Trend()
    }

    /** A rate per second, averaged over a short and a longer time. */
    private class Trend {
        private val short = Average(averagingTime)
        private val long = Average(trendTime)

        fun add(amount: Double, now: Instant) {
            short.add(amount, now)
            long.add(amount, now)
        }

        fun value(now: Instant): Double = short.value(now)

        /** Follows a rise; a fall shows soon enough in the short average. */
        fun forecast(now: Instant): Double {
            val rise = (short.value(now) - long.value(now)).coerceAtLeast(0.0)
            return short.value(now) + rise * (forecastTime / (trendTime - averagingTime))
        }
    }

    private class Average(
        private val timeConstant: Duration,
    ) {
        private var amount = 0.0
        private var at = Instant.DISTANT_PAST

        fun add(added: Double, now: Instant) {
            amount = value(now) + added / timeConstant.toDouble(DurationUnit.SECONDS)
            at = now
        }

        fun value(now: Instant): Double =
            if (amount == 0.0) 0.0 else amount * exp(-((now - at).coerceAtLeast(Duration.ZERO) / timeConstant))
    }
}
