package dogwoodgrade.entry

import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.membership.PeerCandidate
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryName
import kotlin.time.Duration

/**
 * Validated settings of an entry process; `docs/settings.md` describes the file.
 *
 * @property host IP address that all listeners bind to and that other processes connect to
 * @property liveList address of the platform's live list, or `null` to use the configuration alone
 * @property peers peer addresses of other entries that are contacted at the start; gossip discovers more
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
 * Resource and time limits of one entry process.
 *
 * @property maximumBodyBytes largest size of a request body
 * @property maximumRequests largest number of requests that the entry holds at the same time, waiting and running
 * @property queueBound largest number of waiting requests per pool, team and class
 * @property defaultDeadline deadline of requests that set none
 * @property workers number of coroutine workers
 * @property shutdownTimeout longest time that a graceful shutdown waits for running requests
 */
internal data class RequestLimits(
    val maximumBodyBytes: Int,
    val maximumRequests: Int,
    val queueBound: Int,
    val defaultDeadline: Duration,
    val workers: Int,
    val shutdownTimeout: Duration,
)
