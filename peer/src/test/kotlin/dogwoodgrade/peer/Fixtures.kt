package dogwoodgrade.peer

import dogwoodgrade.membership.CellName
import dogwoodgrade.membership.EntryReport
import dogwoodgrade.membership.Introduction
import dogwoodgrade.membership.LogContact
import dogwoodgrade.membership.MemberTable
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Offset
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.TeamName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

internal val START_TIME: Instant = Instant.fromEpochSeconds(1_800_000_000)
internal val SAMPLE_CONTACT: LogContact = LogContact(Offset(12), 340.milliseconds)

internal fun introduction(name: String, address: PeerAddress, incarnation: Long = 1): Introduction =
    Introduction(EntryIdentity(EntryName(name), incarnation), AvailabilityZone("a"), address)

internal fun report(running: Int): EntryReport =
    EntryReport(
        SAMPLE_CONTACT,
        mapOf(CellName.Usage(PoolName("scans"), TeamName("archive")) to 6_400L * running),
        mapOf(InstanceName("executor-1") to running),
    )

/** Returns the handlers of an entry with the given [identity] that answers gossip from [table]. */
internal fun handlersOf(table: MemberTable, identity: EntryIdentity): PeerHandlers =
    PeerHandlers(
        exchange = { dogwoodgrade.model.Outcome.Success(table.answer(START_TIME, it, SAMPLE_CONTACT)) },
        fetch = { request ->
            val content =
                if (request.from < Offset(10)) {
                    FetchContent.Snapshot(Offset(10), byteArrayOf(1, 2))
                } else {
                    FetchContent.Records((request.from.value until 30L).map { byteArrayOf(it.toByte()) })
                }
            dogwoodgrade.model.Outcome.Success(FetchAnswer(content, SAMPLE_CONTACT))
        },
        identify = { identity },
    )
