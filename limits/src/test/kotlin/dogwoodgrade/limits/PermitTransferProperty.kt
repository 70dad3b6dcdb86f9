package dogwoodgrade.limits

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.valueOrNull
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val LEASE = 2.seconds
private val SKEW = 1.seconds
private const val ROUNDS = 12

private class Member(val identity: EntryIdentity) {
    val table = PermitTable(identity)
    val leases = ArrayDeque<Instant>()
    var folded = 0
    var paused = false
}

/** Simulates entries that share one log, in virtual time; a number encodes each step. */
private class Fleet(size: Int, limit: Int) {
    val ledgers = mutableListOf(PermitLedger())
    var now = Instant.fromEpochSeconds(0)
    val members = MutableList(size) { Member(entry("e$it")) }
    val orphans = mutableListOf<Instant>()
    val endedAt = mutableMapOf<EntryIdentity, Instant>()
    val limit get() = ledgers
        .last()
        .teams
        .getValue(RED)
        .limit

    init {
        append { it.setLimit(RED, limit) }
        members.forEach { member -> append { it.join(member.identity) } }
    }

    fun append(change: (PermitLedger) -> Outcome<PermitLedger>) {
        ledgers += change(ledgers.last()).valueOrNull() ?: ledgers.last()
    }

    fun running() = members.sumOf { it.leases.size } + orphans.count { it > now }

    fun read(member: Member, records: Int) {
        member.folded = (member.folded + records).coerceAtMost(ledgers.lastIndex)
        member.table.accept(Offset(member.folded.toLong()), ledgers[member.folded])
    }

    fun start(member: Member) = member.table.tryAcquire(RED).also { if (it) member.leases += now + LEASE }

    fun finish(member: Member) = member.leases.removeFirstOrNull()?.let { member.table.release(RED) }

    /** Reports with the given fault: 0 none, 1 response lost, 2 appended twice, 3 request lost, 4 refused. */
    fun report(member: Member, demand: Int, fault: Int) {
        val live = members.filterNot { it.paused }.map { it.identity }.toSet()
        val report = member.table.planReport(now, live, mapOf(RED to demand)) ?: return
        if (fault < 3) append { it.applyReport(report) }
        if (fault == 2) append { it.applyReport(report) }
        val statusByFault = listOf(AppendStatus.Appended, AppendStatus.Unknown, AppendStatus.Appended)
        member.table.recordAppend(
            report.sequence,
            if (fault == 4) AppendStatus.NotAppended else statusByFault.getOrElse(fault) { AppendStatus.Unknown },
        )
    }

    fun crash(index: Int) {
        val old = members[index].identity
        orphans += members[index].leases
        append { it.end(old) }
        endedAt[old] = now
        members[index] = Member(EntryIdentity(old.name, old.incarnation + 1))
        append { it.join(members[index].identity) }
    }

    fun reclaim() = endedAt.filterValues { now - it > LEASE + SKEW }.keys.forEach { entry ->
        endedAt -= entry
        append { it.reclaim(entry) }
    }

    fun step(code: Int) {
        val index = code / 16 % members.size
        val member = members[index]
        val amount = code / 64 % 16
        now += (amount * 10).milliseconds
        members.forEach { if (it.leases.firstOrNull()?.let { lease -> lease <= now } == true) finish(it) }
        when (code % 16) {
            0 -> member.paused = !member.paused
            1 -> if (amount % 4 == 0) crash(index)
            2 -> reclaim()
            3 -> if (amount % 2 == 0) append { it.setLimit(RED, amount) }
            in 4..6 -> if (!member.paused) report(member, amount, code / 1024 % 5)
            in 7..9 -> if (!member.paused) read(member, 1 + amount % 4)
            in 10..13 -> if (!member.paused) start(member)
            else -> if (!member.paused) finish(member)
        }
    }

    fun check() {
        val permits = ledgers.last().teams.getValue(RED)
        assertTrue(ledgers.last().isConsistent)
        assertTrue(running() <= permits.limit - minOf(0, permits.free), "${running()} tasks run with $permits")
    }

    /** Runs one round without faults: every entry reports once and then reads all records. */
    fun round(demand: (Int) -> Int) {
        now += 1.seconds
        reclaim()
        members.forEach { report(it, demand(members.indexOf(it)), 0) }
        members.forEach { read(it, ledgers.size) }
    }
}

class PermitTransferProperty {
    @Provide
    fun steps(): Arbitrary<List<Int>> =
        Arbitraries
            .integers()
            .between(0, 5 * 1024 - 1)
            .withoutEdgeCases()
            .list()
            .ofMinSize(50)
            .ofMaxSize(300)

    @Provide
    fun demands(): Arbitrary<List<Int>> = Arbitraries
        .integers()
        .between(0, 20)
        .list()
        .ofSize(4)

    @Property(tries = 400, seed = "20261204")
    fun `a team never exceeds its limit despite faults, and afterwards any entry can use the whole limit`(
        @ForAll("steps") steps: List<Int>,
        @ForAll @IntRange(min = 2, max = 4) size: Int,
        @ForAll @IntRange(min = 0, max = 16) limit: Int,
    ) {
        val fleet = Fleet(size, limit)
        for (step in steps) {
            fleet.step(step)
            fleet.check()
        }
        fleet.members.forEach { member ->
            member.paused = false
            while (fleet.finish(member) != null) fleet.check()
        }
        repeat(ROUNDS) { fleet.round { index -> if (index == size - 1) fleet.limit else 0 } }
        assertEquals(fleet.limit, generateSequence { fleet.start(fleet.members.last()) }.takeWhile { it }.count())
        fleet.check()
    }

    @Property(tries = 200, seed = "20261205")
    fun `under steady demand the permits settle and then do not move`(
        @ForAll("demands") demands: List<Int>,
        @ForAll @IntRange(min = 4, max = 40) limit: Int,
    ) {
        val fleet = Fleet(demands.size, limit)
        repeat(ROUNDS) { fleet.round(demands::get) }
        val settled = fleet.ledgers
            .last()
            .teams
            .getValue(RED)
        assertEquals(
            minOf(limit, demands.sum()),
            demands.indices.sumOf {
                minOf(demands[it], settled.heldBy(fleet.members[it].identity))
            },
        )
        repeat(ROUNDS) { fleet.round(demands::get) }
        assertEquals(
            settled,
            fleet.ledgers
                .last()
                .teams
                .getValue(RED),
        )
    }
}
