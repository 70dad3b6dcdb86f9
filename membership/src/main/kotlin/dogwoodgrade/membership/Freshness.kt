package dogwoodgrade.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Whether the folded configuration may be used. */
public sealed interface FreshnessStatus {
    /** The head of the log was confirmed at most [FreshFor] ago. */
    public data class Fresh(public val age: Duration) : FreshnessStatus

    /** The process was paused and nothing has confirmed its configuration since; nothing may start. */
    public data class Verifying(public val since: Instant) : FreshnessStatus

    /**
     * No path confirms the configuration. Work is served from the last accepted configuration within the permits
     * held. [age] is `null` if there was never a contact.
     */
    public data class Stale(public val age: Duration?) : FreshnessStatus
}

/**
 * Age of the last confirmed contact with the head of the log, and the check after a pause.
 *
 * A value is immutable; each event returns the next value.
 *
 * @sample dogwoodgrade.membership.FreshnessTest
 */
public data class Freshness(
    /** Time at which the configuration was known to be complete, or `null`. */
    public val confirmedAsOf: Instant? = null,
    /** Time of the last own tick. */
    public val lastTick: Instant,
    /** Time at which the end of a pause was noticed, while nothing has confirmed the configuration since. */
    public val verifyingSince: Instant? = null,
) {
    /**
     * Records an own tick. A gap of more than [LongestTickGap] since the previous one is a pause, so the ticks must
     * come several times per second.
     */
    public fun tick(now: Instant): Freshness {
        val time = maxOf(now, lastTick)
        val since =
            when {
                time - lastTick > LongestTickGap -> time
                verifyingSince != null && time - verifyingSince >= PathTimeout -> null
                else -> verifyingSince
            }
        return copy(lastTick = time, verifyingSince = since)
    }

    /**
     * Records that a path answered and that the folded state includes everything it knows. [askedAt] is the time
     * before the question was sent (for a long poll that came back empty, the time plus the wait asked for), so the
     * whole round trip counts as age. [peerAge] is the contact age that a peer stated, zero for the log itself.
     *
     * A question asked before the end of a pause, or a peer that is itself stale, does not end the check.
     */
    public fun confirmed(askedAt: Instant, peerAge: Duration = Duration.ZERO): Freshness {
        val asOf = askedAt - peerAge.coerceAtLeast(Duration.ZERO)
        val confirms = verifyingSince != null && askedAt >= verifyingSince && peerAge <= FreshFor
        return copy(
            confirmedAsOf = if (confirmedAsOf == null) asOf else maxOf(confirmedAsOf, asOf),
            verifyingSince = if (confirms) null else verifyingSince,
        )
    }

    /**
     * Records that every path, asked at [askedAt] or later, has failed. This ends the check after a pause; the age
     * then decides whether the configuration is stale.
     */
    public fun everyPathFailed(askedAt: Instant): Freshness =
        if (verifyingSince != null && askedAt >= verifyingSince) copy(verifyingSince = null) else this

    /** Returns the age of the last confirmed contact, or `null` if there was none. */
    public fun age(now: Instant): Duration? = confirmedAsOf?.let { (now - it).coerceAtLeast(Duration.ZERO) }

    /**
     * Returns the status at [now]. A pause is seen here even before the first tick after it, because a request may
     * run first when the process resumes.
     */
    public fun status(now: Instant): FreshnessStatus {
        if (now - lastTick > LongestTickGap) return FreshnessStatus.Verifying(now)
        if (verifyingSince != null) return FreshnessStatus.Verifying(verifyingSince)
        val age = age(now)
        return if (age != null && age <= FreshFor) FreshnessStatus.Fresh(age) else FreshnessStatus.Stale(age)
    }

    public companion object {
        /** Age up to which a configuration is fresh; with the bound of 3 s for G4 and G12 this leaves 1 s to fold. */
        public val FreshFor: Duration = 2.seconds

        /** Gap between own ticks above which the process counts as paused. */
        public val LongestTickGap: Duration = 1.seconds

        /** Time within which a path answers after a pause; a path that does not has failed. */
        public val PathTimeout: Duration = 1.seconds
    }
}
