// Maps the gossip messages of module membership to their wire form and back. A received message is checked completely
// here, so that it can be merged without further checks.
package dogwoodgrade.peer

import com.google.protobuf.InvalidProtocolBufferException
import dogwoodgrade.membership.CellName
import dogwoodgrade.membership.CellUpdate
import dogwoodgrade.membership.GossipMessage
import dogwoodgrade.membership.Introduction
import dogwoodgrade.membership.LogContact
import dogwoodgrade.membership.MAX_CELL_AGE
import dogwoodgrade.membership.MemberDelta
import dogwoodgrade.membership.MemberKey
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.wire.WireCellName
import dogwoodgrade.wire.WireGossip
import dogwoodgrade.wire.WireIntroduction
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds

/** Returns the wire form of [message]. */
public fun encodeGossip(message: GossipMessage): WireGossip {
    val wire = WireGossip.newBuilder()
    for ((key, heartbeat) in message.digest) {
        wire.addDigestKeys(key.bits)
        wire.addDigestHeartbeats(heartbeat)
    }
    wire.acknowledged = message.acknowledged
    wire.appliedOffset = message.contact.appliedOffset.value
    wire.contactAge = encodeAge(message.contact.age)
    for ((position, delta) in message.members.withIndex()) {
        delta.introduction?.let { wire.addIntroductions(encodeIntroduction(it, position)) }
        wire.addKeys(delta.key.bits)
        wire.addHeartbeats(delta.heartbeat)
        wire.addAdvances(delta.heartbeat - delta.base)
        wire.addOffsetDistances(delta.contact.appliedOffset.value - wire.appliedOffset)
        wire.addContactAges(encodeCoarseAge(delta.contact.age))
        encodeCells(delta.cells, wire)
    }
    return wire.build()
}

/** Returns the message in [bytes], or a failure if they are not a valid message. */
public fun decodeGossip(bytes: ByteArray): Outcome<GossipMessage> =
    try {
        decodeGossip(WireGossip.parseFrom(bytes))
    } catch (fault: InvalidProtocolBufferException) {
        malformed("the gossip message is not a protobuf message: ${fault.message}")
    }

/** Returns the message in [wire], or a failure that names the first invalid part. */
public fun decodeGossip(wire: WireGossip): Outcome<GossipMessage> {
    val digest = decodeDigest(wire) ?: return malformed("the digest of the gossip message is invalid")
    if (wire.acknowledged < 0) return malformed("the acknowledged heartbeat is out of range")
    val contact =
        decodeContact(wire.appliedOffset, wire.contactAge) ?: return malformed("the log contact is out of range")
    val columns = listOf(wire.heartbeatsCount, wire.advancesCount, wire.offsetDistancesCount, wire.contactAgesCount)
    if (wire.keysCount > MAX_MEMBERS || (columns + wire.cellCountsCount).any { it != wire.keysCount }) {
        return malformed("the gossip message has too many members or columns of different lengths")
    }
    val introductions =
        decodeIntroductions(wire) ?: return malformed("an introduction in the gossip message is invalid")
    val cells = decodeCells(wire) ?: return malformed("the cells of the gossip message are invalid")
    val members =
        List(wire.keysCount) { position ->
            decodeMember(wire, position, introductions[position], cells[position])
                ?: return malformed("member $position of the gossip message is invalid")
        }
    return Outcome.Success(GossipMessage(digest, wire.acknowledged, members, contact))
}

internal fun malformed(message: String): Outcome.Failure = Outcome.Failure(ResultCode.MalformedRecord, message)

/** Returns [age] in milliseconds plus 1, or 0 for none. */
internal fun encodeAge(age: Duration?): Long = if (age == null) 0 else age.inWholeMilliseconds.coerceAtLeast(0) + 1

/** Returns the contact, or `null` if [offset] or [age] is out of range. */
internal fun decodeContact(offset: Long, age: Long): LogContact? {
    if (offset < 0 || age !in 0..MAX_CONTACT_AGE.inWholeMilliseconds) return null
    return LogContact(Offset(offset), if (age == 0L) null else (age - 1).milliseconds)
}

private fun encodeCells(cells: List<CellUpdate>, wire: WireGossip.Builder) {
    wire.addCellCounts(cells.size)
    var previous = -1
    for (cell in cells) {
        cell.name?.let { wire.addNames(encodeName(it, wire.valuesCount)) }
        wire.addIndexSteps(cell.index - previous)
        wire.addValues(cell.value)
        wire.addCellAges(cell.age)
        previous = cell.index
    }
}

private fun encodeIntroduction(introduction: Introduction, position: Int): WireIntroduction =
    WireIntroduction
        .newBuilder()
        .setPosition(position)
        .setName(introduction.identity.name.text)
        .setIncarnation(introduction.identity.incarnation)
        .setZone(introduction.zone.text)
        .setHost(introduction.address.host)
        .setPort(introduction.address.port)
        .build()

private fun encodeName(name: CellName, position: Int): WireCellName {
    val wire = WireCellName.newBuilder().setPosition(position)
    when (name) {
        is CellName.Usage -> wire.setPool(name.pool.text).setTeam(name.team?.text.orEmpty())
        is CellName.Queue -> wire.setPool(name.pool.text).setTeam(name.team?.text.orEmpty()).setDemand(true)
        is CellName.Load -> wire.setInstance(name.instance.text)
    }
    return wire.build()
}

/** Returns [age] in units of 100 ms plus 1, or 0 for none; rounded up so that no contact looks newer than it is. */
private fun encodeCoarseAge(age: Duration?): Int =
    if (age == null) {
        0
    } else {
        ((age.coerceIn(Duration.ZERO, MAX_CONTACT_AGE) + CONTACT_AGE_UNIT - 1.milliseconds) / CONTACT_AGE_UNIT)
            .toInt() + 1
    }

private fun decodeDigest(wire: WireGossip): Map<MemberKey, Long>? {
    if (wire.digestKeysCount != wire.digestHeartbeatsCount || wire.digestKeysCount > MAX_MEMBERS) return null
    val digest = LinkedHashMap<MemberKey, Long>()
    for (index in 0 until wire.digestKeysCount) {
        val heartbeat = wire.getDigestHeartbeats(index)
        if (heartbeat <= 0 || digest.put(MemberKey(wire.getDigestKeys(index)), heartbeat) != null) return null
    }
    return digest
}

private fun decodeIntroductions(wire: WireGossip): Map<Int, Introduction>? {
    val introductions = HashMap<Int, Introduction>()
    for (introduction in wire.introductionsList) {
        val decoded = decodeIntroduction(introduction) ?: return null
        if (introduction.position !in 0 until wire.keysCount) return null
        if (introductions.put(introduction.position, decoded) != null) return null
    }
    return introductions
}

private fun decodeMember(
    wire: WireGossip,
    position: Int,
    introduction: Introduction?,
    cells: List<CellUpdate>,
): MemberDelta? {
    val key = MemberKey(wire.getKeys(position))
    val heartbeat = wire.getHeartbeats(position)
    val base = heartbeat - wire.getAdvances(position)
    val isInRange = heartbeat > 0 && base in 0 until heartbeat
    if (!isInRange || (base == 0L) != (introduction != null)) return null
    if (introduction != null && (key != MemberKey.of(introduction.identity) || !isComplete(cells))) return null
    val coarseAge = wire.getContactAges(position)
    if (coarseAge < 0) return null
    val age = if (coarseAge == 0) 0L else (CONTACT_AGE_UNIT * (coarseAge - 1)).inWholeMilliseconds + 1
    val contact = decodeContact(wire.appliedOffset + wire.getOffsetDistances(position), age) ?: return null
    return MemberDelta(key, introduction, base, heartbeat, contact, cells)
}

private fun decodeIntroduction(wire: WireIntroduction): Introduction? {
    val name = EntryName.parseOrNull(wire.name) ?: return null
    val zone = AvailabilityZone.parseOrNull(wire.zone) ?: return null
    val address = PeerAddress.ofOrNull(wire.host, wire.port) ?: return null
    if (wire.incarnation <= 0) return null
    return Introduction(EntryIdentity(name, wire.incarnation), zone, address)
}

/** Returns the cells of each member. */
private fun decodeCells(wire: WireGossip): List<List<CellUpdate>>? {
    val columns =
        listOf(wire.indexStepsCount.toLong(), wire.cellAgesCount.toLong(), wire.cellCountsList.sumOf { it.toLong() })
    if (columns.any { it != wire.valuesCount.toLong() }) return null
    val names = HashMap<Int, CellName>()
    for (name in wire.namesList) {
        val isKnownPosition = name.position in 0 until wire.valuesCount
        if (!isKnownPosition || names.put(name.position, decodeName(name) ?: return null) != null) return null
    }
    var position = 0
    return wire.cellCountsList.map { count ->
        if (count !in 0..MAX_CELLS || count > wire.valuesCount - position) return null
        var index = -1
        List(count) {
            val step = wire.getIndexSteps(position)
            val value = wire.getValues(position)
            if (step !in 1..MAX_CELLS || value < 0 || index + step >= MAX_CELLS) return null
            val age = wire.getCellAges(position)
            if (age !in 0..MAX_CELL_AGE) return null
            index += step
            CellUpdate(index, names[position++], value, age)
        }
    }
}

private fun decodeName(wire: WireCellName): CellName? {
    if (wire.instance.isNotEmpty()) {
        if (wire.pool.isNotEmpty() || wire.team.isNotEmpty() || wire.demand) return null
        return InstanceName.parseOrNull(wire.instance)?.let(CellName::Load)
    }
    val pool = PoolName.parseOrNull(wire.pool) ?: return null
    val team = if (wire.team.isEmpty()) null else TeamName.parseOrNull(wire.team) ?: return null
    return if (wire.demand) CellName.Queue(pool, team) else CellName.Usage(pool, team)
}

private fun isComplete(cells: List<CellUpdate>): Boolean =
    cells.withIndex().all { (position, cell) -> cell.index == position && cell.name != null }

/** Largest number of members in a message; far above the 72 entries that `GossipCostTest` covers. */
private const val MAX_MEMBERS = 4_096

/** Never reached: the names of fewer cells fill the 48 KiB of state that a member may have. */
private const val MAX_CELLS = 16_384

private val CONTACT_AGE_UNIT = 100.milliseconds

/** A larger contact age is implausible and would overflow the units on the wire. */
private val MAX_CONTACT_AGE = 365.days
