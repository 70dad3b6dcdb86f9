package dogwoodgrade.entry

import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.membership.PeerCandidate
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryName
import kotlin.time.Duration

/**
 * Checked settings of an entry process; `docs/settings.md` describes the file.
 *
 * @property host IP address that all listeners bind to and that other processes use
 * @property liveList address of the platform's live list, or `null` to go by configuration alone
 * @property peers peer addresses of other entries that are tried at start; more are learned by gossip
 */
internal data class Settings(
    val name: EntryName,
    val zone: AvailabilityZone,
    val host: String,
    val callerPort: Int,
    val peerPort: Int,
    val operatorPort: Int,
    val log: PeerAddress,
    val liveList: PeerAddress?,
    val peers: List<PeerCandidate>,
    val limits: RequestLimits,
)

/**
 * Bounds of one entry process.
 *
 * @property maximumBodyBytes largest request body
 * @property maximumRequests requests that the entry holds at the same time, waiting and running
 * @property queueBound waiting requests per pool, team and class
 * @property defaultDeadline deadline of requests that name none
 * @property workers number of coroutine workers
 * @property shutdown longest time that a graceful shutdown waits for running requests
 */
internal data class RequestLimits(
    val maximumBodyBytes: Int,
    val maximumRequests: Int,
    val queueBound: Int,
    val defaultDeadline: Duration,
    val workers: Int,
    val shutdown: Duration,
)
