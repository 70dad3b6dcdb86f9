package dogwoodgrade.entry

import dogwoodgrade.control.ControlTable
import dogwoodgrade.limits.PermitTable
import dogwoodgrade.membership.MemberTable
import dogwoodgrade.routing.EndpointTable
import dogwoodgrade.routing.RetryBudgetTable
import dogwoodgrade.shares.QueueTable

/** The shared tables of the process, in the lock order of `docs/design.md`, section 4.1. */
internal data class EntryTables(
    val control: ControlTable,
    val permits: PermitTable,
    val queues: QueueTable,
    val endpoints: EndpointTable,
    val members: MemberTable,
    val budgets: RetryBudgetTable,
    val requests: RequestTable,
)
