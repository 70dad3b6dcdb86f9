package dogwoodgrade.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Whether the folded configuration is up to date enough to be used. */
public sealed interface FreshnessStatus {
    /** The head of the log was confirmed at most [MAX_FRESH_AGE] ago. */
    public data class Fresh(public val age: Duration) : FreshnessStatus

    /** The process was paused and its configuration has not been confirmed since; no task may start. */
    public data class Verifying(public val since: Instant) : FreshnessStatus

    /**
     * No path to the log has confirmed the configuration in time. Requests are served with the last accepted
     * configuration, within the permits held. [age] is `null` if there never was a contact.
     */
    public data class Stale(public val age: Duration?) : FreshnessStatus
}

/**
 * Tracks the age of the last confirmed contact with the head of the log, and the check after a pause of the process.
 *
 * A path is a way to the head of the log: the log service itself or a peer. Instances are immutable; every event
 * returns a new one.
 *
 * @sample dogwoodgrade.membership.FreshnessTest
 */
public data class Freshness(
    /** Latest time at which the configuration was known to be complete, or `null` if it never was. */
    public val confirmedAsOf: Instant? = null,
    /** Time of the last tick. */
    public val lastTick: Instant,
    /** Time at which the end of a pause was detected, or `null` if no check is in progress. */
    public val verifyingSince: Instant? = null,
) {
    /**
     * Records a tick of this process. A gap of more than [MAX_TICK_GAP] since the previous tick counts as a pause, so
     * this function must be called several times per second.
     */
    public fun tick(now: Instant): Freshness {
        val time = maxOf(now, lastTick)
        val since =
            when {
                time - lastTick > MAX_TICK_GAP -> time
                verifyingSince != null && time - verifyingSince >= PATH_TIMEOUT -> null
                else -> verifyingSince
            }
        return copy(lastTick = time, verifyingSince = since)
    }

    /**
     * Records that a path answered and that the folded state includes every record that the path knows.
     *
     * A request sent before the end of a pause does not end the check, nor does an answer of a stale peer.
     *
     * @param requestedAt time just before the request was sent, so that the whole round trip counts as age; for a long
     * poll that returned nothing, this time plus the requested wait
     * @param peerAge contact age that the peer stated; zero for the log itself
     */
    public fun confirmed(requestedAt: Instant, peerAge: Duration = Duration.ZERO): Freshness {
        val asOf = requestedAt - peerAge.coerceAtLeast(Duration.ZERO)
        val confirms = verifyingSince != null && requestedAt >= verifyingSince && peerAge <= MAX_FRESH_AGE
        return copy(
            confirmedAsOf = if (confirmedAsOf == null) asOf else maxOf(confirmedAsOf, asOf),
            verifyingSince = if (confirms) null else verifyingSince,
        )
    }

    /**
     * Records that requests sent at [requestedAt] or later failed on every path. This ends the check after a pause; the
     * age then decides whether the configuration is stale.
     */
    public fun everyPathFailed(requestedAt: Instant): Freshness =
        if (verifyingSince != null && requestedAt >= verifyingSince) copy(verifyingSince = null) else this

    /** Returns the age of the last confirmed contact, or `null` if there was none. */
    public fun age(now: Instant): Duration? = confirmedAsOf?.let { (now - it).coerceAtLeast(Duration.ZERO) }

    /**
     * Returns the status at [now]. Detects a pause even before the first tick after it, because a request may be
     * handled first when the process resumes.
     */
    public fun status(now: Instant): FreshnessStatus {
        if (now - lastTick > MAX_TICK_GAP) return FreshnessStatus.Verifying(now)
        if (verifyingSince != null) return FreshnessStatus.Verifying(verifyingSince)
        val age = age(now)
        return if (age != null && age <= MAX_FRESH_AGE) FreshnessStatus.Fresh(age) else FreshnessStatus.Stale(age)
    }

    public companion object {
        /**
         * Largest age of a fresh configuration; an entry has to apply a change within 3 s, which leaves 1 s for
         * folding.
         */
        public val MAX_FRESH_AGE: Duration = 2.seconds

        /** Gap between ticks above which the process counts as paused. */
        public val MAX_TICK_GAP: Duration = 1.seconds

        /** Time after which the check that follows a pause ends if no path has confirmed the configuration. */
        public val PATH_TIMEOUT: Duration = 1.seconds
    }
}
