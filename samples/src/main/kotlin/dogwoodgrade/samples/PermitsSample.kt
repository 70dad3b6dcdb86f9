package dogwoodgrade.samples

import dogwoodgrade.limits.AppendStatus
import dogwoodgrade.limits.PermitLedger
import dogwoodgrade.limits.PermitTable
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.valueOrNull
import kotlin.time.Instant

/**
 * Upper limits without the rest of the system: one embedder that keeps its own log of reports.
 *
 * The embedder appends each planned report to an ordered log of its choice, folds the log into a [PermitLedger], and
 * hands every new ledger to the [PermitTable]. Returns how many of [attempts] tasks got a permit.
 */
public fun runWithUpperLimit(limit: Int, attempts: Int, now: Instant): Int {
    val team = TeamName("granito")
    val entry = EntryIdentity(EntryName("embedder"), incarnation = 1)
    var ledger = PermitLedger().accepted { join(entry) }.accepted { setLimit(team, limit) }
    var offset = Offset(2)

    val table = PermitTable(entry)
    table.accept(offset, ledger)
    val report = table.planReport(now, live = setOf(entry), demand = mapOf(team to attempts))
    if (report != null) {
        ledger = ledger.accepted { applyReport(report) }
        offset = offset.next
        table.recordAppend(report.sequence, AppendStatus.Appended)
        table.accept(offset, ledger)
    }
    return (1..attempts).count { table.tryAcquire(team) }
}

private fun PermitLedger.accepted(change: PermitLedger.() -> Outcome<PermitLedger>): PermitLedger =
    checkNotNull(change().valueOrNull()) { "the ledger refused the change" }
