package dogwoodgrade.measure

import dogwoodgrade.membership.EntryReport
import dogwoodgrade.membership.GossipMessage
import dogwoodgrade.membership.Introduction
import dogwoodgrade.membership.LogContact
import dogwoodgrade.membership.MemberTable
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.membership.PeerCandidate
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Offset
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.TeamName
import dogwoodgrade.routing.AttemptResult
import dogwoodgrade.routing.Endpoint
import dogwoodgrade.routing.EndpointConfiguration
import dogwoodgrade.routing.EndpointTable
import dogwoodgrade.routing.ReservationRequest
import dogwoodgrade.routing.ReservationResult
import dogwoodgrade.shares.FreeSlots
import dogwoodgrade.shares.QueueOwner
import dogwoodgrade.shares.QueueTable
import dogwoodgrade.shares.RunEnd
import dogwoodgrade.shares.WaitingRequest
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Operations on the shared tables for one request or gossip round, as functions of the call number. */
internal object TableCosts {
    private val pool = PoolName("pool-0")
    private val zone = AvailabilityZone("zone-0")

    /** Queues and starts one request while each of [teams] teams has a waiting request. */
    fun queueStep(teams: Int): (Int) -> Unit {
        val queues = QueueTable()
        val owners = List(teams) { QueueOwner.Team(TeamName("team-$it")) }
        queues.configure(owners.associateWith { 1.0 })
        var number = 0

        fun offer(owner: QueueOwner, now: Instant) {
            val identifier = RequestIdentifier("request-${number++}")
            queues.offer(WaitingRequest(identifier, pool, owner, RequestClass.Normal, now, now + 10.minutes), now)
        }
        owners.forEach { offer(it, instantAt(0)) }
        return { call ->
            val now = instantAt(call.toLong())
            queues.takeNext(pool, now, FreeSlots(1, 1)) { true }.started?.let { started ->
                queues.end(started.identifier, RunEnd.Completed, now + 1.milliseconds)
                offer(started.owner, now)
            }
        }
    }

    /** Reserves and frees a slot in a pool of [endpoints] endpoints. */
    fun reserveStep(endpoints: Int): (Int) -> Unit {
        val table = EndpointTable()
        val list =
            List(endpoints) {
                Endpoint(InstanceName("instance-$it"), pool, zone, RackName("rack-$it"), "10.0.0.1:80", 8, 8)
            }
        table.configure(EndpointConfiguration(list), instantAt(0))
        val random = Random(1)
        return { call ->
            val now = instantAt(call.toLong())
            val request = ReservationRequest(pool, zone, RequestClass.Normal, 1, now + 10.minutes)
            val result = table.reserve(request, now, random)
            if (result is ReservationResult.Reserved) table.finish(result.reservation, AttemptResult.Complete(200), now)
        }
    }

    /** One gossip round of one entry among [entries]: its tick, and a request to and answer from each chosen peer. */
    fun gossipStep(entries: Int): (Int) -> Unit {
        val introductions =
            List(entries) {
                Introduction(
                    identity(it),
                    AvailabilityZone("zone-${it % 9}"),
                    PeerAddress(
                        "10.0.0.1",
                        1_000 + it,
                    ),
                )
            }
        val tables =
            introductions.associate { own ->
                own.address to
                    MemberTable(own, introductions.map { PeerCandidate(it.address, it.zone, isAlive = false) })
            }

        fun gossipRound(address: PeerAddress, now: Instant) {
            val table = tables.getValue(address)
            table.tick(now, EntryReport(LogContact(Offset(now.epochSeconds), 100.milliseconds), emptyMap(), emptyMap()))
            for (peer in table.planGossip(now)) exchange(table, peer, now, tables)
        }
        repeat(20) { second -> tables.keys.forEach { gossipRound(it, instantAt(second * 1_000L)) } }
        return { call -> gossipRound(introductions.first().address, instantAt(20_000L + call * 1_000L)) }
    }

    private fun exchange(
        table: MemberTable,
        peer: PeerAddress,
        now: Instant,
        tables: Map<PeerAddress, MemberTable>,
    ) {
        val request: GossipMessage = table.requestTo(now, peer) ?: return
        val answer = tables.getValue(peer).answer(now, request, request.contact)
        table.acceptAnswer(now, peer, answer)
    }
}
