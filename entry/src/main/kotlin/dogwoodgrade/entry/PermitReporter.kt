package dogwoodgrade.entry

import dogwoodgrade.control.ControlBody
import dogwoodgrade.limits.AppendStatus
import dogwoodgrade.limits.fleetReportInterval
import dogwoodgrade.logclient.AppendResult
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlin.time.Instant

/**
 * Appends the permit reports that the permit table plans, one at a time.
 *
 * @param append appends a record once
 */
internal class PermitReporter(
    private val tables: EntryTables,
    private val now: () -> Instant,
    private val append: suspend (ControlBody) -> AppendResult,
) {
    private val planRequests = Channel<Unit>(Channel.CONFLATED)

    /** Requests a new plan, for example because the demand has changed. */
    fun requestPlan() {
        planRequests.trySend(Unit)
    }

    /** Plans and appends reports until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            planRequests.receive()
            report()
            delay(fleetReportInterval(tables.control.state.entries.size) / PLANS_PER_REPORT)
        }
    }

    private suspend fun report() {
        val time = now()
        val demand = tables.queues.demand().mapValues { (_, demand) -> demand.waiting + demand.running }
        val live = tables.members.liveEntries(time).toSet()
        val report = tables.permits.planReport(time, live, demand) ?: return
        val knowledge =
            when (append(ControlBody.ReportPermits(report))) {
                is AppendResult.Appended -> AppendStatus.Appended
                is AppendResult.Refused -> AppendStatus.NotAppended
                is AppendResult.Unknown -> AppendStatus.Unknown
            }
        tables.permits.recordAppend(report.sequence, knowledge)
    }

    private companion object {
        /**
         * Number of plans within the shortest time between two reports. Every arrival and every end of a request asks
         * for a plan, and a plan reads the permits of all teams. More plans would cost processor time without effect.
         */
        const val PLANS_PER_REPORT = 4
    }
}
