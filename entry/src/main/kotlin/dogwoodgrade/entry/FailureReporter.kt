package dogwoodgrade.entry

import dogwoodgrade.control.ControlBody
import dogwoodgrade.logclient.AppendResult
import dogwoodgrade.maintenance.LiveListHistory
import dogwoodgrade.maintenance.observeLiveList
import dogwoodgrade.membership.chooseSnapshotWriter
import dogwoodgrade.model.EntryName
import dogwoodgrade.routing.LiveObservation
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/**
 * Records failures and recoveries of instances that the live list shows, so that availability budgets count them. Every
 * entry keeps a history, but only the live entry with the lowest name appends, to limit the load on the log. The fold
 * refuses duplicates.
 */
internal class FailureReporter(
    private val name: EntryName,
    private val tables: EntryTables,
    private val append: suspend (ControlBody) -> AppendResult,
) {
    private var history = LiveListHistory()

    /** Processes one reading of the live list. */
    suspend fun observe(observation: LiveObservation, now: Instant) {
        val listed = observation.live + observation.leaving
        val verdict = observeLiveList(tables.control.state.configuration, history, listed, now)
        history = verdict.history
        if (chooseSnapshotWriter(name, tables.members.members(now)) != name) return
        for (change in verdict.changes) {
            logger.info { "live-list: $change" }
            append(ControlBody.Configure(change))
        }
    }
}
