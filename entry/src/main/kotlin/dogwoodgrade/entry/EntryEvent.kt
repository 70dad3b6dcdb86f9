package dogwoodgrade.entry

import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.TeamName
import dogwoodgrade.routing.Reservation

/** An event that the workers handle. Callbacks of the network libraries post events and leave the tables alone. */
internal sealed interface EntryEvent {
    /** A request has arrived. */
    data class Arrived(val request: CallerRequest, val reply: ReplyOnce, val admitted: (RequestIdentifier) -> Unit) :
        EntryEvent

    /** The caller has closed its connection. */
    data class CallerLeft(val identifier: RequestIdentifier) : EntryEvent

    /** An attempt has ended. */
    data class AttemptEnded(
        val identifier: RequestIdentifier,
        val reservation: Reservation,
        val end: AttemptEnd,
    ) : EntryEvent

    /** The backoff before another attempt is over. */
    data class RetryDue(val identifier: RequestIdentifier, val lastAttemptMayHaveRun: Boolean) : EntryEvent

    /** The lease of a task with an unknown outcome has expired, so its permit is free again. */
    data class LeaseExpired(val team: TeamName) : EntryEvent

    /** Periodic tick: waiting requests may have expired, and permits or slots may have become free. */
    data object Tick : EntryEvent
}
