package dogwoodgrade.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Bounds of the calls between entries. The sizes suit a process with a heap of 128 MB. */
public data class PeerSettings(
    /** Deadline of an exchange; also the time within which a connection must answer again after a pause. */
    public val exchangeDeadline: Duration = 1.seconds,
    public val fetchDeadline: Duration = 2.seconds,
    /** Deadline of a probe, including the time to connect. */
    public val probeDeadline: Duration = 1.seconds,
    /** Largest message of an exchange; larger than any that the bounds of gossip allow. */
    public val maximumGossipBytes: Int = 128 * 1024,
    /** Largest answer to a fetch; a snapshot has to fit. */
    public val maximumFetchBytes: Int = 4 * 1024 * 1024,
    /** Largest number of records in an answer to a fetch. */
    public val maximumFetchRecords: Int = 1_000,
    public val maximumCallsPerConnection: Int = 16,
    /** Time without calls after which a connection is closed. */
    public val connectionIdleTimeout: Duration = 1.minutes,
    public val firstBackoff: Duration = 100.milliseconds,
    /** Less than the 3 s within which a reachable entry has to apply a change. */
    public val longestBackoff: Duration = 1.seconds,
)

/** Number of consecutive failed calls to an address, and the time until which it is not called again. */
internal data class PeerBackoff(val failures: Int, val until: kotlin.time.Instant) {
    companion object {
        /** More doublings would overflow, and would exceed any sensible longest backoff anyway. */
        private const val MAX_DOUBLINGS = 16

        fun after(previous: PeerBackoff?, now: kotlin.time.Instant, settings: PeerSettings): PeerBackoff {
            val failures = (previous?.failures ?: 0) + 1
            val pause = settings.firstBackoff * (1 shl (failures - 1).coerceAtMost(MAX_DOUBLINGS))
            return PeerBackoff(failures, now + pause.coerceAtMost(settings.longestBackoff))
        }
    }
}
