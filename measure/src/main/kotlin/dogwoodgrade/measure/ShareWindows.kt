package dogwoodgrade.measure

import kotlin.math.abs

/** Length of a window, and distance between the starts of two windows, in milliseconds. */
internal const val WINDOW = 10_000L
internal const val SAMPLE = 500L

/** State of one pool at one sample: slots in use and waiting requests per team. */
internal data class ShareSample(val time: Long, val pool: Int, val slotTime: List<Double>, val waiting: List<Int>)

/**
 * Largest deviation of a team from its share in the window that starts at [start].
 *
 * @property leastWaiting fewest requests of a team that waited at a sample
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
 * Returns the windows of 10 s in which requests of every team waited at every sample. Then all that the pool does is to
 * be divided by the shares. [ShareSample.slotTime] is the sum of slot time up to the sample.
 */
internal fun saturatedWindows(samples: List<ShareSample>, shares: List<Double>): List<ShareWindow> =
    samples.groupBy(ShareSample::pool).values.flatMap { pool ->
        val length = (WINDOW / SAMPLE).toInt()
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
