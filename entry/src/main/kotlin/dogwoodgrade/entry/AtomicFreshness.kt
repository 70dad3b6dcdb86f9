package dogwoodgrade.entry

import dogwoodgrade.membership.Freshness
import dogwoodgrade.membership.FreshnessStatus
import dogwoodgrade.membership.LogContact
import dogwoodgrade.model.Offset
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Instant

/** Holds the current [Freshness] of the process. Each event replaces the immutable value atomically. */
internal class AtomicFreshness(now: Instant) {
    private val current = AtomicReference(Freshness(lastTick = now))

    /** Applies [event]. */
    fun update(event: (Freshness) -> Freshness) {
        current.updateAndGet(event)
    }

    /** Returns the status at [now]. */
    fun status(now: Instant): FreshnessStatus = current.get().status(now)

    /** Returns whether work may start, which is not the case while the configuration is verified after a pause. */
    fun mayStart(now: Instant): Boolean = status(now) !is FreshnessStatus.Verifying

    /** Returns the contact with the log as it is reported to peers. */
    fun contact(offset: Offset, now: Instant): LogContact = LogContact(offset, current.get().age(now))
}

/** Returns the age of a stale configuration (zero if there was no contact yet), or `null` while it is fresh. */
internal fun staleAge(freshness: AtomicFreshness, now: Instant): Duration? =
    when (val status = freshness.status(now)) {
        is FreshnessStatus.Stale -> status.age ?: Duration.ZERO
        else -> null
    }
