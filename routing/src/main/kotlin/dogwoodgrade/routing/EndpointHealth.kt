package dogwoodgrade.routing

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time for which an endpoint that answered "busy" counts as full. */
internal val BUSY_TIME = 100.milliseconds

/** Time in which the load of others that a "busy" response proved fades; the next gossip has arrived by then. */
internal val BUSY_LOAD_TIME = 1.seconds

/** Removal after the first refused connection, doubling up to [LONGEST_REMOVAL]. */
internal val FIRST_REMOVAL = 1.seconds

/** Longest removal after refused connections. */
internal val LONGEST_REMOVAL = 30.seconds

/** Duration of the first ejection, doubling up to [LONGEST_EJECTION]. */
internal val FIRST_EJECTION = 5.seconds

/** Longest ejection; an endpoint that serves well for this long starts at [FIRST_EJECTION] again. */
internal val LONGEST_EJECTION = 60.seconds

/** Starts in the window below which an endpoint is not ejected: too few to tell a fault from chance. */
internal const val MIN_STARTS = 5

/** Consecutive successes that end the probation of a half-open endpoint. */
internal const val PROBATION_SUCCESSES = 3

/** Health of an endpoint as this entry has seen it; an immutable value. */
internal data class EndpointHealth(
    val window: OutcomeWindow = OutcomeWindow(),
    val fullUntil: Instant = Instant.DISTANT_PAST,
    val busyAt: Instant = Instant.DISTANT_PAST,
    /** Slots that were not taken by this entry when the endpoint last answered "busy". */
    val othersWhenBusy: Int = 0,
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
    /** Receives only one request at a time: half-open, or its last connection was refused. */
    val isOnProbation: Boolean get() = ejectedUntil != null || refusals > 0

    fun isFull(now: Instant): Boolean = now < fullUntil

    fun busy(others: Int, now: Instant): EndpointHealth = copy(busyAt = now, othersWhenBusy = others)

    /** Load of other entries by the last "busy" response; it is newer than what peers have reported. */
    fun othersAfterBusy(now: Instant): Double =
        othersWhenBusy * (1 - ((now - busyAt) / BUSY_LOAD_TIME).coerceIn(0.0, 1.0))

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

    /** Ejects the endpoint; each ejection within [LONGEST_EJECTION] of the last one is twice as long. */
    fun eject(now: Instant): EndpointHealth {
        val count = if (ejectedUntil != null || now - closedAt < LONGEST_EJECTION) ejections + 1 else 1
        return copy(
            window = OutcomeWindow(),
            ejections = count,
            ejectedAt = now,
            ejectedUntil = now + doubled(FIRST_EJECTION, count, LONGEST_EJECTION),
            probationSuccesses = 0,
        )
    }

    /** Tells whether more than half of the requests failed here, and more than twice the rate of the rest. */
    fun isOutlier(rest: OutcomeCounts, now: Instant): Boolean {
        val counts = window.countsAt(now)
        return counts.starts >= MIN_STARTS &&
            counts.failures * 2 > counts.starts &&
            counts.failureRate > rest.failureRate * 2
    }

    // Connections that were opened before the removal ended in the same refusal; they do not double it.
    private fun afterRefusal(startedAt: Instant, now: Instant): EndpointHealth =
        if (startedAt < removedUntil) {
            this
        } else {
            val removal = doubled(FIRST_REMOVAL, refusals + 1, LONGEST_REMOVAL)
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
