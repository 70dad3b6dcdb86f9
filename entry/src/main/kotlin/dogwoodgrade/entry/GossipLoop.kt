package dogwoodgrade.entry

import dogwoodgrade.membership.GossipMessage
import dogwoodgrade.membership.Liveness
import dogwoodgrade.membership.LogContact
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.flatMap
import dogwoodgrade.model.valueOrNull
import dogwoodgrade.peer.FetchAnswer
import dogwoodgrade.peer.FetchContent
import dogwoodgrade.peer.FetchRequest
import dogwoodgrade.peer.PeerClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Instant

/** Exchanges state with other entries, and fetches configuration from peers that have applied more of the log. */
internal class GossipLoop(
    private val tables: EntryTables,
    private val peers: PeerClient,
    private val follower: LogFollower,
    private val freshness: AtomicFreshness,
    private val now: () -> Instant,
) {
    private val usage = UsageExchange(tables.queues)

    /** Publishes the state of this entry and starts the exchanges of one round; called once a second. */
    fun round(scope: CoroutineScope) {
        val time = now()
        val draining =
            tables.control.state.configuration.instances.values
                .filter { it.draining }
                .map { it.name }
        val report = usage.entryReport(contact(), tables.endpoints.ownLoad(time), draining.toSet(), time)
        tables.members.tick(time, report)
        scope.launch { for (address in tables.members.planGossip(time)) exchange(address) }
    }

    /** Fetches newer log records from all live peers concurrently; called after a pause. */
    fun verify(scope: CoroutineScope) {
        val time = now()
        val presentMembers = tables.members.members(time).filter { it.liveness != Liveness.Absent }
        for (member in presentMembers) scope.launch { follower.fetchFrom(member.address) }
    }

    /** Answers an exchange that a peer has started. */
    fun answer(message: GossipMessage): Outcome<GossipMessage> {
        val time = now()
        val answer = tables.members.answer(time, message, contact())
        applyReports(time)
        return Outcome.Success(answer)
    }

    private suspend fun exchange(address: PeerAddress) {
        val requestedAt = now()
        val request = tables.members.requestTo(requestedAt, address) ?: return
        val answer = peers.exchange(address, request).valueOrNull() ?: return
        val time = now()
        tables.members.acceptAnswer(time, address, answer)
        applyReports(time)
        val peer = answer.contact
        if (peer.appliedOffset > tables.control.state.offset) {
            follower.fetchFrom(address)
        } else {
            peer.age?.let { age -> freshness.update { it.confirmed(requestedAt, age) } }
        }
    }

    /** Passes the reports of peers on to the tables that use them. */
    private fun applyReports(time: Instant) {
        val members = tables.members.members(time)
        usage.applyReports(members, time)
        for (member in members.filter { it.liveness != Liveness.Absent }) {
            val age = member.sinceProgress.coerceAtLeast(Duration.ZERO)
            tables.endpoints.reportPeerLoad(member.identity, member.load, age, time)
        }
    }

    private fun contact(): LogContact = freshness.contact(tables.control.state.offset, now())

    /** Answers a peer that fetches records of the log. */
    fun fetch(request: FetchRequest, encodeState: () -> ByteArray): Outcome<FetchAnswer> {
        val records = tables.control.recordsFrom(request.from, request.maximumRecords, request.maximumBytes)
        val content =
            if (records != null) {
                FetchContent.Records(records.map { it.data })
            } else {
                FetchContent.Snapshot(tables.control.state.offset, encodeState())
            }
        return Outcome.Success(FetchAnswer(content, contact())).flatMap { requireConfiguration(it) }
    }

    private fun requireConfiguration(answer: FetchAnswer): Outcome<FetchAnswer> =
        if (answer.contact.appliedOffset.value == 0L) {
            Outcome.Failure(ResultCode.Starting, "this entry has no configuration yet")
        } else {
            Outcome.Success(answer)
        }
}
