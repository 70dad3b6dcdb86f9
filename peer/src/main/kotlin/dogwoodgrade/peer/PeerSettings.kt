package dogwoodgrade.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Bounds of the calls between entries. The sizes fit a process with 128 MB. */
public data class PeerSettings(
    /** Deadline of an exchange; the time within which a path must answer after a pause. */
    public val exchangeDeadline: Duration = 1.seconds,
    public val fetchDeadline: Duration = 2.seconds,
    /** Deadline of a probe, the connection included. */
    public val probeDeadline: Duration = 1.seconds,
    /** Largest message of an exchange, above what the bounds of gossip allow. */
    public val gossipBytes: Int = 128 * 1024,
    /** Largest answer to a fetch; a snapshot must fit into it. */
    public val fetchBytes: Int = 4 * 1024 * 1024,
    /** Largest number of records in an answer to a fetch. */
    public val fetchRecords: Int = 1_000,
    public val concurrentCallsPerConnection: Int = 16,
    /** Time without calls after which a connection is closed. */
    public val idleAfter: Duration = 1.minutes,
    public val firstBackoff: Duration = 100.milliseconds,
    /** Stays below the 3 s within which a reachable entry applies a change. */
    public val longestBackoff: Duration = 1.seconds,
)

/** Failed calls to one address in a row, and the pause after the last of them. */
internal data class PeerBackoff(val failures: Int, val until: kotlin.time.Instant) {
    companion object {
        /** Doubling further has no effect at any sensible longest pause and would overflow. */
        private const val MAX_DOUBLINGS = 16

        fun after(previous: PeerBackoff?, now: kotlin.time.Instant, settings: PeerSettings): PeerBackoff {
            val failures = (previous?.failures ?: 0) + 1
            val pause = settings.firstBackoff * (1 shl (failures - 1).coerceAtMost(MAX_DOUBLINGS))
            return PeerBackoff(failures, now + pause.coerceAtMost(settings.longestBackoff))
        }
    }
}
