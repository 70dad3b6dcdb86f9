package dogwoodgrade.measure

import kotlin.math.abs

/** Length of a window. */
internal const val SHARE_WINDOW_MILLISECONDS = 10_000L

/** Time between two samples. */
internal const val SHARE_SAMPLE_INTERVAL_MILLISECONDS = 500L

/** State of one pool at one sample: accumulated slot time in milliseconds and waiting requests, per team. */
internal data class ShareSample(val time: Long, val pool: Int, val slotTime: List<Double>, val waiting: List<Int>)

/**
 * Largest deviation of a team from its share in the window that starts at [start].
 *
 * @property deviation relative deviation from the share
 * @property team index of the team with this deviation
 * @property leastWaiting smallest number of waiting requests of any team at any sample of the window
 * @property settled whether the pool was saturated for a whole window before the start
 */
internal data class ShareWindow(
    val start: Long,
    val pool: Int,
    val deviation: Double,
    val team: Int,
    val leastWaiting: Int,
    val settled: Boolean,
)

private val ShareSample.isSaturated: Boolean get() = waiting.all { it > 0 }

/**
 * Returns the windows of 10 s in which every team had waiting requests at every sample, so that the whole use of the
 * pool has to follow the shares. A window starts at every sample.
 */
internal fun saturatedWindows(samples: List<ShareSample>, shares: List<Double>): List<ShareWindow> =
    samples.groupBy(ShareSample::pool).values.flatMap { pool ->
        val length = (SHARE_WINDOW_MILLISECONDS / SHARE_SAMPLE_INTERVAL_MILLISECONDS).toInt()
        pool.windowed(length + 1).mapIndexedNotNull { index, window ->
            if (!window.all { it.isSaturated }) return@mapIndexedNotNull null
            val leastWaiting = window.minOf { it.waiting.min() }
            val before = pool.subList((index - length).coerceAtLeast(0), index)
            val settled = before.size == length && before.all { it.isSaturated }
            val used = shares.indices.map { window.last().slotTime[it] - window.first().slotTime[it] }
            val deviations = used.mapIndexed { team, time ->
                abs(time / (used.sum() * shares[team] / shares.sum()) - 1)
            }
            val worst = deviations.indices.maxBy { deviations[it] }
            ShareWindow(window.first().time, window.first().pool, deviations[worst], worst, leastWaiting, settled)
        }
    }
