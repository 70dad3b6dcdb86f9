package dogwoodgrade.entry

import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.routing.RequestFingerprint
import dogwoodgrade.shares.QueueOwner
import dogwoodgrade.shares.WaitingRequest
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A request as a caller sent it, independent of the HTTP library.
 *
 * @property identifier the caller's identifier, or one that the entry made; it is forwarded, but need not be unique
 * @property target path and query for the endpoint
 * @property headers headers that are forwarded
 * @property jobTeam team of an accepted job; its key was checked when the job was accepted
 */
internal data class CallerRequest(
    val identifier: RequestIdentifier,
    val method: String,
    val service: ServiceName,
    val target: String,
    val key: KeyDigest?,
    val requestClass: RequestClass,
    val idempotent: Boolean,
    val timeout: Duration?,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val jobTeam: TeamName? = null,
) {
    override fun toString(): String = "CallerRequest($identifier, $method $target, ${body.size} bytes)"
}

/**
 * A request that the entry has admitted, until it is answered and nothing of it runs.
 *
 * @property identifier identifier within this process; unlike the caller's it is unique
 * @property tried instances on which the request was attempted
 * @property mayHaveRun whether an earlier attempt may have run
 */
internal data class Call(
    val identifier: RequestIdentifier,
    val request: CallerRequest,
    val pool: PoolName,
    val owner: QueueOwner,
    val arrival: Instant,
    val deadline: Instant,
    val fingerprint: RequestFingerprint,
    val reply: ReplyOnce,
    val tried: Set<InstanceName> = emptySet(),
    val attempts: Int = 0,
    val mayHaveRun: Boolean = false,
) {
    /** Returns the form of this call in the queues. */
    fun toWaitingRequest(): WaitingRequest =
        WaitingRequest(identifier, pool, owner, request.requestClass, arrival, deadline)

    /** The team that is charged, or `null` on an open queue. */
    val team: TeamName? get() = (owner as? QueueOwner.Team)?.name
}
