package dogwoodgrade.routing

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time for which an endpoint that answered "busy" counts as full. */
internal val BUSY_TIME = 100.milliseconds

/** Time in which the load of peers inferred from a "busy" response decays to 0; new gossip has arrived by then. */
internal val BUSY_LOAD_FADE_TIME = 1.seconds

/** Removal time after the first refused connection; it doubles up to [MAX_REMOVAL_TIME]. */
internal val MIN_REMOVAL_TIME = 1.seconds

/** Longest removal time after refused connections. */
internal val MAX_REMOVAL_TIME = 30.seconds

/** Duration of the first ejection; it doubles up to [MAX_EJECTION_TIME]. */
internal val MIN_EJECTION_TIME = 5.seconds

/** Longest ejection; an endpoint that serves normally for this long starts at [MIN_EJECTION_TIME] again. */
internal val MAX_EJECTION_TIME = 60.seconds

/** Starts in the window below which an endpoint is not ejected, because its failures may be chance. */
internal const val MIN_STARTS = 5

/** Consecutive successes that end the probation of a half-open endpoint. */
internal const val PROBATION_SUCCESSES = 3

/** Health of an endpoint as observed by this entry; immutable. */
internal data class EndpointHealth(
    val window: OutcomeWindow = OutcomeWindow(),
    val fullUntil: Instant = Instant.DISTANT_PAST,
    val busyAt: Instant = Instant.DISTANT_PAST,
    /** Slots that were not taken by this entry when the endpoint last answered "busy". */
    val otherLoadWhenBusy: Int = 0,
    val refusals: Int = 0,
    val removedUntil: Instant = Instant.DISTANT_PAST,
    val ejections: Int = 0,
    /** When the endpoint was last ejected; earlier requests say nothing about its health since then. */
    val ejectedAt: Instant = Instant.DISTANT_PAST,
    /** End of the ejection; the endpoint is half-open afterwards. `null` if the circuit is closed. */
    val ejectedUntil: Instant? = null,
    val probationSuccesses: Int = 0,
    val closedAt: Instant = Instant.DISTANT_PAST,
) {
    /** Whether the endpoint receives one request at a time: it is half-open, or its last connection was refused. */
    val isOnProbation: Boolean get() = ejectedUntil != null || refusals > 0

    fun isFull(now: Instant): Boolean = now < fullUntil

    fun busy(others: Int, now: Instant): EndpointHealth = copy(busyAt = now, otherLoadWhenBusy = others)

    /** Returns the load of other entries inferred from the last "busy" response; it is newer than peer reports. */
    fun otherLoadAfterBusy(now: Instant): Double =
        otherLoadWhenBusy * (1 - ((now - busyAt) / BUSY_LOAD_FADE_TIME).coerceIn(0.0, 1.0))

    fun isEjected(now: Instant): Boolean = ejectedUntil != null && now < ejectedUntil

    fun isRemoved(now: Instant): Boolean = now < removedUntil || isEjected(now)

    /** Returns the health after a request that was started at [startedAt] ended with [result]. */
    fun after(result: AttemptResult, startedAt: Instant, probe: Boolean, now: Instant): EndpointHealth =
        when (result) {
            AttemptResult.NotSent -> this
            AttemptResult.ConnectionRefused, AttemptResult.ConnectTimedOut -> afterRefusal(startedAt, now)
            AttemptResult.Busy, AttemptResult.NotRun -> copy(fullUntil = now + BUSY_TIME, refusals = 0)
            else -> afterStart(result.isFailure, startedAt, probe, now)
        }

    /** Ejects the endpoint, for twice as long as the last time if that ended less than [MAX_EJECTION_TIME] ago. */
    fun eject(now: Instant): EndpointHealth {
        val count = if (ejectedUntil != null || now - closedAt < MAX_EJECTION_TIME) ejections + 1 else 1
        return copy(
            window = OutcomeWindow(),
            ejections = count,
            ejectedAt = now,
            ejectedUntil = now + doubled(MIN_EJECTION_TIME, count, MAX_EJECTION_TIME),
            probationSuccesses = 0,
        )
    }

    /** Returns whether more than half of the requests failed here, at more than twice the failure rate of [rest]. */
    fun isOutlier(rest: OutcomeCounts, now: Instant): Boolean {
        val counts = window.countsAt(now)
        return counts.starts >= MIN_STARTS &&
            counts.failures * 2 > counts.starts &&
            counts.failureRate > rest.failureRate * 2
    }

    // Connections opened before the removal were refused for the same reason and do not double its duration.
    private fun afterRefusal(startedAt: Instant, now: Instant): EndpointHealth =
        if (startedAt < removedUntil) {
            this
        } else {
            val removal = doubled(MIN_REMOVAL_TIME, refusals + 1, MAX_REMOVAL_TIME)
            copy(refusals = refusals + 1, removedUntil = now + removal)
        }

    private fun afterStart(failed: Boolean, startedAt: Instant, probe: Boolean, now: Instant): EndpointHealth {
        val connected = copy(fullUntil = Instant.DISTANT_PAST, refusals = if (failed) refusals else 0)
        return when {
            startedAt < ejectedAt -> connected
            ejectedUntil == null -> connected.copy(window = window.add(failed, now))
            failed || !probe -> connected
            probationSuccesses + 1 < PROBATION_SUCCESSES -> connected.copy(probationSuccesses = probationSuccesses + 1)
            else -> connected.copy(ejectedUntil = null, probationSuccesses = 0, closedAt = now)
        }
    }
}
