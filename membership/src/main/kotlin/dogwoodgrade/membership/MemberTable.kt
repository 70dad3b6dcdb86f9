package dogwoodgrade.membership

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The members of the fleet that this entry knows, and the state that it publishes itself.
 *
 * Guarded by one lock, number 5 in the lock order of the entry process. No function blocks or calls foreign code while
 * it holds the lock.
 *
 * @param own description of this entry
 * @param seeds peer addresses from the settings, with their zone if it is known
 * @sample dogwoodgrade.membership.MemberTableTest
 */
public class MemberTable(
    private val own: Introduction,
    private val seeds: List<PeerCandidate>,
    private val settings: GossipSettings = GossipSettings(),
) {
    private class Member(var state: MemberState, var progressedAt: Instant) {
        var usage: Map<CellName.Usage, RecentUsage> = emptyMap()

        /** Estimated time of the member's heartbeat 0, by this entry's clock. */
        var estimatedStart: Instant = progressedAt - HEARTBEAT_INTERVAL * state.heartbeat.toDouble()
    }

    private val lock = ReentrantLock()
    private val members = HashMap<EntryName, Member>()

    /** Latest heartbeat of this entry that the peer at an address has acknowledged. */
    private val acknowledged = HashMap<PeerAddress, Long>()
    private var state: MemberState? = null
    private var round = 0L
    private var omittedKey: MemberKey? = null
    private var refreshCredit = 0
    private var lastRefreshed = own.identity.name

    /** The heartbeat of this entry; 0 before the first tick. */
    public val heartbeat: Long get() = lock.withLock { state?.heartbeat ?: 0 }

    /** Advances the heartbeat of this entry and publishes [report]. Must be called once per second. */
    public fun tick(now: Instant, report: EntryReport): Unit =
        lock.withLock {
            members.values.removeIf { now - it.progressedAt > MEMBER_RETENTION }
            val heartbeat = (state?.heartbeat ?: 0) + 1
            val budget = settings.cellBytesPerSecond / (liveMembers(now).size + 1)
            val cells = publishCells(state?.cells.orEmpty(), report, heartbeat, budget, settings.stateBytes)
            state = MemberState(own, heartbeat, report.contact, cells)
        }

    /** Returns the peers of the next gossip round, at most [PEERS_PER_ROUND]. Must be called once per second. */
    public fun planGossip(now: Instant): List<PeerAddress> =
        lock.withLock {
            val peers = peerCandidates(now)
            acknowledged.keys.retainAll(peers.mapTo(HashSet()) { it.address })
            omittedKey = memberToRefresh(now)
            choosePeers(peers, own.address, own.zone, round++)
        }

    /**
     * Returns the request to the peer at [address], or `null` before the first tick. If the request to the second peer
     * of a round is created after the answer of the first, the two peers do not send the same changes.
     */
    public fun requestTo(now: Instant, address: PeerAddress): GossipMessage? =
        lock.withLock {
            val ownState = state ?: return@withLock null
            val message =
                GossipMessage(
                    digest(now, omittedKey),
                    0,
                    listOf(ownState.deltaSince(acknowledged[address] ?: 0)),
                    ownState.contact,
                )
            omittedKey = null
            message
        }

    /** Merges a [request] and returns the answer, which states the current [contact] of this entry with the log. */
    public fun answer(now: Instant, request: GossipMessage, contact: LogContact): GossipMessage =
        lock.withLock {
            request.members.forEach { mergeMember(now, it) }
            val requester = request.members.firstOrNull()?.key
            val held = members.values
                .firstOrNull { it.state.key == requester }
                ?.state
                ?.heartbeat ?: 0
            GossipMessage(emptyMap(), held, changesFor(now, request.digest, requester), contact)
        }

    /** Merges the [answer] of the peer at [address] to a request that [requestTo] returned. */
    public fun acceptAnswer(now: Instant, address: PeerAddress, answer: GossipMessage): Unit =
        lock.withLock {
            answer.members.forEach { mergeMember(now, it) }
            acknowledged[address] = minOf(answer.acknowledged, state?.heartbeat ?: 0)
        }

    /** Returns the other members whose heartbeat has advanced in the last two hours, sorted by name. */
    public fun members(now: Instant): List<MemberView> =
        lock.withLock { members.values.map { viewOf(it, now) }.sortedBy { it.identity.name } }

    /** Returns the requests in flight of all other members that are not absent, per instance. */
    public fun peerLoad(now: Instant): Map<InstanceName, Int> =
        lock.withLock {
            val sums = HashMap<InstanceName, Int>()
            for (member in members.values.filter { livenessOf(now - it.progressedAt) != Liveness.Absent }) {
                loadOf(member.state).forEach { (instance, requests) -> sums.merge(instance, requests, Int::plus) }
            }
            sums
        }

    /** Returns the identities of the live entries, this one included, sorted. */
    public fun liveEntries(now: Instant): List<EntryIdentity> =
        lock.withLock { (liveMembers(now).map { it.state.introduction.identity } + own.identity).sorted() }

    private fun liveMembers(now: Instant): List<Member> =
        members.values.filter { livenessOf(now - it.progressedAt) == Liveness.Alive }

    private fun mergeMember(now: Instant, delta: MemberDelta) {
        val name = delta.introduction?.identity?.name
        if (name == own.identity.name) return
        val held =
            if (name != null) members[name] else members.values.singleOrNull { it.state.key == delta.key } ?: return
        val before = held?.state
        val after = merge(before, delta) ?: return
        if (after === before) return
        val member = held ?: Member(after, now).also { members[after.introduction.identity.name] = it }
        member.usage = recentUsage(member.usage, before, after)
        member.estimatedStart = estimatedStartAfter(member, after, now)
        member.state = after
        member.progressedAt = now
    }

    /**
     * Returns the estimated start of [member] after the new state [after].
     *
     * The message with the shortest delay gives the best estimate, so the earliest start wins. Because members tick a
     * little late and may pause, the estimate advances by [START_DRIFT_PER_HEARTBEAT] with each heartbeat, and it is
     * never more than [MAX_REPORT_AGE] before the start that the newest message implies.
     */
    private fun estimatedStartAfter(member: Member, after: MemberState, now: Instant): Instant {
        val latest = now - HEARTBEAT_INTERVAL * after.heartbeat.toDouble()
        val advance = (after.heartbeat - member.state.heartbeat).coerceAtLeast(0)
        if (member.state.key != after.key) return latest
        return minOf(latest, member.estimatedStart + START_DRIFT_PER_HEARTBEAT * advance.toDouble())
            .coerceAtLeast(latest - MAX_REPORT_AGE)
    }

    /**
     * Returns the changes that [digest] lacks. Absent members are left out, so that a member that was removed from
     * the table does not return through a peer.
     */
    private fun changesFor(now: Instant, digest: Map<MemberKey, Long>, requester: MemberKey?): List<MemberDelta> {
        val ambiguous = ambiguousKeys()
        val states =
            members.values.filter { livenessOf(now - it.progressedAt) != Liveness.Absent }.map { it.state } +
                listOfNotNull(state)
        var bytes = 0
        // Members for which the requester is furthest behind come first, so that the size limit starves no member.
        return states
            .filter { it.key != requester }
            .map { it to if (it.key in ambiguous) 0L else digest[it.key] ?: 0L }
            .filter { (state, base) -> state.heartbeat > base }
            .sortedByDescending { (state, base) -> state.heartbeat - base }
            .map { (state, base) -> state.deltaSince(base) }
            .takeWhile { delta -> (bytes < settings.messageBytes).also { bytes += delta.estimatedBytes() } }
    }

    private fun digest(now: Instant, omittedKey: MemberKey?): Map<MemberKey, Long> {
        val ambiguous = ambiguousKeys()
        return members.values
            .filter { livenessOf(now - it.progressedAt) != Liveness.Absent }
            .map { it.state }
            .filter { it.key != omittedKey && it.key !in ambiguous }
            .associate { it.key to it.heartbeat }
    }

    /**
     * Returns the member to leave out of the digest in this round, or `null`. The peer then sends it in full, which
     * repairs any error left by a lost or incorrect message.
     *
     * The live members take turns. Each round adds a credit of [GossipSettings.refreshBytesPerSecond], so that large
     * states are requested less often.
     */
    private fun memberToRefresh(now: Instant): MemberKey? {
        val states = liveMembers(now).map { it.state }.sortedBy { it.introduction.identity }
        val next =
            states.firstOrNull { it.introduction.identity.name > lastRefreshed } ?: states.firstOrNull() ?: return null
        val bytes = next.deltaSince(0).estimatedBytes()
        refreshCredit += settings.refreshBytesPerSecond
        if (refreshCredit < bytes) return null
        // Unused credit is dropped, so that it cannot be spent in a burst.
        refreshCredit = 0
        lastRefreshed = next.introduction.identity.name
        return next.key
    }

    private fun ambiguousKeys(): Set<MemberKey> =
        (members.values.map { it.state.key } + MemberKey.of(own.identity))
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys

    private fun peerCandidates(now: Instant): List<PeerCandidate> =
        members.values.map {
            val isAlive = livenessOf(now - it.progressedAt) == Liveness.Alive
            PeerCandidate(it.state.introduction.address, it.state.introduction.zone, isAlive)
        } + seeds.map { it.copy(isAlive = false) }

    private fun viewOf(member: Member, now: Instant): MemberView {
        val state = member.state
        val sinceProgress = (now - member.progressedAt).coerceAtLeast(Duration.ZERO)
        return MemberView(
            identity = state.introduction.identity,
            zone = state.introduction.zone,
            address = state.introduction.address,
            heartbeat = state.heartbeat,
            contact = state.contact,
            liveness = livenessOf(sinceProgress),
            sinceProgress = sinceProgress,
            load = loadOf(state),
            uses = poolUses(state, member.usage),
            takenAt = member.estimatedStart + HEARTBEAT_INTERVAL * state.heartbeat.toDouble(),
        )
    }

    private fun loadOf(state: MemberState): Map<InstanceName, Int> {
        val loads = HashMap<InstanceName, Int>()
        for (cell in state.cells) {
            val name = cell.name as? CellName.Load ?: continue
            if (cell.value > 0) loads[name.instance] = cell.value.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
        }
        return loads
    }

    private companion object {
        /**
         * Time without a new heartbeat after which a member is removed. It exceeds the longest partition of regions,
         * one hour, so that both sides keep the addresses of the other.
         */
        val MEMBER_RETENTION: Duration = 2.hours

        /** Amount by which the estimated start of a member advances per heartbeat. */
        val START_DRIFT_PER_HEARTBEAT: Duration = 20.milliseconds

        /** Longest assumed delivery time of a report; with 72 entries, gossip takes 4 rounds of one second. */
        val MAX_REPORT_AGE: Duration = 4.seconds
    }
}
