package dogwoodgrade.entry

import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.TeamName
import dogwoodgrade.routing.Reservation

/** An event that the workers handle. Callbacks of the network libraries only create events. */
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

    /** The backoff before another attempt is over; [ran] tells whether an earlier attempt may have run. */
    data class RetryDue(val identifier: RequestIdentifier, val ran: Boolean) : EntryEvent

    /** A task whose outcome is unknown has lost its lease, so its permit is free again. */
    data class LeaseExpired(val team: TeamName) : EntryEvent

    /** A regular tick: waiting requests may have expired, and permits or slots may have become free. */
    data object Tick : EntryEvent
}
