package dogwoodgrade.scheduling

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Time constant of the measured rates. A machine needs about two seconds to join a pool, so a longer time constant
 * would show a burst too late; with a shorter one, a single job would look like a burst.
 */
private val AVERAGING_TIME: Duration = 1.seconds

/** Time constant of the slower average with which a rate is compared to detect a rise. */
private val TREND_AVERAGING_TIME: Duration = 3.seconds

/** Time by which a rising rate is extrapolated: the lag of the average plus the time a machine needs to join a pool. */
private val FORECAST_TIME: Duration = 3.seconds

/** Jobs within [AVERAGING_TIME] below which no rise is assumed, since one large job looks like the start of a burst. */
private const val MIN_JOBS_FOR_TREND: Double = 2.5

/**
 * Measures the batch work that arrives for each pool, as the resources it occupies if it keeps arriving at this rate.
 *
 * Running and waiting tasks show only the first steps of the jobs accepted so far; the arrival rate shows a burst
 * before its tasks have filled the pool. While the rate rises, it is extrapolated to the time at which a machine that
 * is ordered now will have joined.
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

    /** Returns the resources that work arriving for [pool] will occupy by the time a machine ordered now has joined. */
    fun rate(pool: String, now: Instant): Resources {
        val rate = rates[pool] ?: return Resources.None
        val rising = rate.jobs.value(now) >= MIN_JOBS_FOR_TREND

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

    /** A rate per second, averaged with a short and a long time constant. */
    private class Trend {
        private val short = Average(AVERAGING_TIME)
        private val long = Average(TREND_AVERAGING_TIME)

        fun add(amount: Double, now: Instant) {
            short.add(amount, now)
            long.add(amount, now)
        }

        fun value(now: Instant): Double = short.value(now)

        /** Extrapolates a rise. A fall needs no forecast, because the short average follows it soon enough. */
        fun forecast(now: Instant): Double {
            val rise = (short.value(now) - long.value(now)).coerceAtLeast(0.0)
            return short.value(now) + rise * (FORECAST_TIME / (TREND_AVERAGING_TIME - AVERAGING_TIME))
        }
    }

    private class Average(
        private val timeConstant: Duration,
    ) {
        private var amount = 0.0
        private var updatedAt = Instant.DISTANT_PAST

        fun add(added: Double, now: Instant) {
            amount = value(now) + added / timeConstant.toDouble(DurationUnit.SECONDS)
            updatedAt = now
        }

        fun value(now: Instant): Double =
            if (amount == 0.0) 0.0 else amount * exp(-((now - updatedAt).coerceAtLeast(Duration.ZERO) / timeConstant))
    }
}
