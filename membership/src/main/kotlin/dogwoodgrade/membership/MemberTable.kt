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
 * Members of the fleet as this entry knows them, and its own published state.
 *
 * Guarded by one lock, number 5 in the lock order. No function waits or calls out while it holds the lock.
 *
 * @param own this entry
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

        /** When the member is estimated to have started to count heartbeats, by the own clock. */
        var origin: Instant = progressedAt - HeartbeatInterval * state.heartbeat.toDouble()
    }

    private val lock = ReentrantLock()
    private val members = HashMap<EntryName, Member>()

    /** Own heartbeat that the peer at an address has acknowledged. */
    private val acknowledged = HashMap<PeerAddress, Long>()
    private var state: MemberState? = null
    private var round = 0L
    private var omitted: MemberKey? = null
    private var refreshCredit = 0
    private var refreshed = own.identity.name

    /** The own heartbeat; 0 before the first tick. */
    public val heartbeat: Long get() = lock.withLock { state?.heartbeat ?: 0 }

    /** Advances the own heartbeat and publishes [report]. Called once per second. */
    public fun tick(now: Instant, report: OwnReport): Unit =
        lock.withLock {
            members.values.removeIf { now - it.progressedAt > ForgottenAfter }
            val heartbeat = (state?.heartbeat ?: 0) + 1
            val budget = settings.cellBytesPerSecond / (alive(now).size + 1)
            val cells = publishCells(state?.cells.orEmpty(), report, heartbeat, budget, settings.stateBytes)
            state = MemberState(own, heartbeat, report.contact, cells)
        }

    /** Returns the peers of the next gossip round, at most [PEERS_PER_ROUND]. Called once per second. */
    public fun planGossip(now: Instant): List<PeerAddress> =
        lock.withLock {
            val peers = candidates(now)
            acknowledged.keys.retainAll(peers.mapTo(HashSet()) { it.address })
            omitted = refreshedMember(now)
            choosePeers(peers, own.address, own.zone, round++)
        }

    /**
     * Returns the request to the peer at [address], or `null` before the first tick. Asking the second peer of a round
     * after the first has answered keeps both from sending the same.
     */
    public fun requestTo(now: Instant, address: PeerAddress): GossipMessage? =
        lock.withLock {
            val ownState = state ?: return@withLock null
            val message =
                GossipMessage(
                    digest(now, omitted),
                    0,
                    listOf(ownState.since(acknowledged[address] ?: 0)),
                    ownState.contact,
                )
            omitted = null
            message
        }

    /** Merges a [request] and returns the answer, with the own [contact] of this moment. */
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

    /** Merges the [answer] of the peer at [address] to a request of [requestTo]. */
    public fun acceptAnswer(now: Instant, address: PeerAddress, answer: GossipMessage): Unit =
        lock.withLock {
            answer.members.forEach { mergeMember(now, it) }
            acknowledged[address] = minOf(answer.acknowledged, state?.heartbeat ?: 0)
        }

    /** Returns the other members that have been seen in the last two hours, sorted by name. */
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
        lock.withLock { (alive(now).map { it.state.introduction.identity } + own.identity).sorted() }

    private fun alive(now: Instant): List<Member> =
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
        member.origin = originAfter(member, after, now)
        member.state = after
        member.progressedAt = now
    }

    /**
     * The message that took the least time says best when the member started. The estimate moves on by [OriginDrift]
     * per heartbeat, because members tick a little late and may pause, and its age is bounded.
     */
    private fun originAfter(member: Member, after: MemberState, now: Instant): Instant {
        val latest = now - HeartbeatInterval * after.heartbeat.toDouble()
        val advance = (after.heartbeat - member.state.heartbeat).coerceAtLeast(0)
        if (member.state.key != after.key) return latest
        return minOf(latest, member.origin + OriginDrift * advance.toDouble()).coerceAtLeast(latest - LargestReportAge)
    }

    /** Absent members are not passed on, so that a forgotten member does not return through a peer. */
    private fun changesFor(now: Instant, digest: Map<MemberKey, Long>, requester: MemberKey?): List<MemberDelta> {
        val ambiguous = ambiguousKeys()
        val states =
            members.values.filter { livenessOf(now - it.progressedAt) != Liveness.Absent }.map { it.state } +
                listOfNotNull(state)
        var bytes = 0
        // The members that the requester is furthest behind on come first, so that a full message leaves nobody out.
        return states
            .filter { it.key != requester }
            .map { it to if (it.key in ambiguous) 0L else digest[it.key] ?: 0L }
            .filter { (state, base) -> state.heartbeat > base }
            .sortedByDescending { (state, base) -> state.heartbeat - base }
            .map { (state, base) -> state.since(base) }
            .takeWhile { delta -> (bytes < settings.messageBytes).also { bytes += delta.estimatedBytes() } }
    }

    private fun digest(now: Instant, omitted: MemberKey?): Map<MemberKey, Long> {
        val ambiguous = ambiguousKeys()
        return members.values
            .filter { livenessOf(now - it.progressedAt) != Liveness.Absent }
            .map { it.state }
            .filter { it.key != omitted && it.key !in ambiguous }
            .associate { it.key to it.heartbeat }
    }

    /**
     * Returns the member that is left out of the digest in this round and therefore comes in full, in rotation. This
     * heals whatever a lost or wrong message has left behind. Each round adds a credit of
     * [GossipSettings.refreshBytesPerSecond], so that large states come less often.
     */
    private fun refreshedMember(now: Instant): MemberKey? {
        val states = alive(now).map { it.state }.sortedBy { it.introduction.identity }
        val next =
            states.firstOrNull { it.introduction.identity.name > refreshed } ?: states.firstOrNull() ?: return null
        val bytes = next.since(0).estimatedBytes()
        refreshCredit += settings.refreshBytesPerSecond
        if (refreshCredit < bytes) return null
        // What is left after a quiet time must not be spent in a burst.
        refreshCredit = 0
        refreshed = next.introduction.identity.name
        return next.key
    }

    private fun ambiguousKeys(): Set<MemberKey> =
        (members.values.map { it.state.key } + MemberKey.of(own.identity))
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys

    private fun candidates(now: Instant): List<PeerCandidate> =
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
            takenAt = member.origin + HeartbeatInterval * state.heartbeat.toDouble(),
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
        /** Longer than the hour for which regions are partitioned, so that both sides keep their addresses. */
        val ForgottenAfter: Duration = 2.hours

        /** By how much an estimated start moves per heartbeat. */
        val OriginDrift: Duration = 20.milliseconds

        /** Longest time that a report is assumed to have been on its way; gossip takes 4 rounds with 72 entries. */
        val LargestReportAge: Duration = 4.seconds
    }
}
