package dogwoodgrade.membership

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Offset
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.TeamName
import kotlin.time.Duration
import kotlin.time.Instant

internal val START: Instant = Instant.fromEpochSeconds(1_800_000_000)

internal fun introduction(name: String, incarnation: Long = 1, zone: String = "a"): Introduction =
    Introduction(
        EntryIdentity(EntryName(name), incarnation),
        AvailabilityZone(zone),
        PeerAddress("127.0.0.1", 1_000 + name.last().code),
    )

internal fun usage(pool: String, team: String): CellName.Usage = CellName.Usage(PoolName(pool), TeamName(team))

internal fun report(
    offset: Long = 0,
    age: Duration? = Duration.ZERO,
    usage: Map<CellName.Usage, Long> = emptyMap(),
    load: Map<String, Int> = emptyMap(),
    watched: Set<String> = emptySet(),
): EntryReport {
    val contact = LogContact(Offset(offset), age)
    return EntryReport(contact, usage, load.mapKeys { InstanceName(it.key) }, watched.map(::InstanceName).toSet())
}

internal fun table(name: String, incarnation: Long = 1, settings: GossipSettings = GossipSettings()): MemberTable =
    MemberTable(
        introduction(name, incarnation),
        listOf(PeerCandidate(introduction("entry-b").address, null, false)),
        settings,
    )

internal val NO_CONTACT: LogContact = LogContact(Offset.Zero, null)

/**
 * Runs one gossip exchange from [from] to [to]; the answer is lost if [answerArrives] is false. Returns the request and
 * the answer.
 */
internal fun exchange(
    from: MemberTable,
    to: MemberTable,
    now: Instant,
    answerArrives: Boolean = true,
): Pair<GossipMessage, GossipMessage> {
    val address = from.planGossip(now).first()
    val request = checkNotNull(from.requestTo(now, address))
    val answer = to.answer(now, request, NO_CONTACT)
    if (answerArrives) from.acceptAnswer(now, address, answer)
    return request to answer
}
