package dogwoodgrade.entry

import dogwoodgrade.membership.Freshness
import dogwoodgrade.membership.FreshnessStatus
import dogwoodgrade.membership.LogContact
import dogwoodgrade.model.Offset
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Instant

/** The latest [Freshness] of the process. Each event replaces the immutable value in one atomic step. */
internal class FreshnessCell(now: Instant) {
    private val current = AtomicReference(Freshness(lastTick = now))

    /** Applies [event]. */
    fun update(event: (Freshness) -> Freshness) {
        current.updateAndGet(event)
    }

    /** Returns the status at [now]. */
    fun status(now: Instant): FreshnessStatus = current.get().status(now)

    /** Tells whether work may start: not while the configuration is verified after a pause. */
    fun mayStart(now: Instant): Boolean = status(now) !is FreshnessStatus.Verifying

    /** Returns what peers are told about the contact with the log. */
    fun contact(offset: Offset, now: Instant): LogContact = LogContact(offset, current.get().age(now))
}

/** Returns the age of a stale configuration (zero if there was never a contact), or `null` while it is fresh. */
internal fun staleAge(freshness: FreshnessCell, now: Instant): Duration? =
    when (val status = freshness.status(now)) {
        is FreshnessStatus.Stale -> status.age ?: Duration.ZERO
        else -> null
    }
