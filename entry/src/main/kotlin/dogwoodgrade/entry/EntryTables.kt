package dogwoodgrade.entry

import dogwoodgrade.control.ControlTable
import dogwoodgrade.limits.PermitTable
import dogwoodgrade.membership.MemberTable
import dogwoodgrade.routing.EndpointTable
import dogwoodgrade.routing.RetryBudgetTable
import dogwoodgrade.shares.QueueTable

/**
 * The shared tables of the entry process, in their lock order (`docs/design.md`, section 4.1). A thread that holds the
 * lock of a table takes only locks of later tables.
 */
internal data class EntryTables(
    val control: ControlTable,
    val permits: PermitTable,
    val queues: QueueTable,
    val endpoints: EndpointTable,
    val members: MemberTable,
    val budgets: RetryBudgetTable,
    val requests: RequestTable,
)
