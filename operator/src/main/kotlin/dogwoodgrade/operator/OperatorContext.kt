package dogwoodgrade.operator

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.control.RecordOutcome
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.ResultCode
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * The session, ports and settings that commands use.
 *
 * @property query sends requests to entries
 * @property progress prints a line about the progress of a long-running command
 * @property confirmationTimeout longest time to wait for entries to confirm accepted changes
 */
internal data class OperatorContext(
    val session: ControlSession,
    val query: EntryQuery,
    val now: () -> Instant,
    val progress: (String) -> Unit,
    val confirmationTimeout: Duration = CONFIRMATION_TIMEOUT,
)

/** Chooses the changes to propose in a state. */
internal typealias ChangePlan = (ConfigurationState) -> Outcome<List<ConfigurationChange>>

/**
 * Proposes the changes of [plan] in order, stops at the first refusal, and otherwise waits for the entries to confirm
 * the last change.
 */
internal suspend fun proposeAll(context: OperatorContext, plan: ChangePlan): CommandResult {
    val state =
        when (val read = context.session.refresh()) {
            is Failure -> return resultOf(read)
            is Success -> read.value
        }
    val changes =
        when (val planned = plan(state.configuration)) {
            is Failure -> return resultOf(planned)
            is Success -> planned.value
        }
    if (changes.isEmpty()) return CommandResult(ResultCode.Accepted, "nothing to change")
    val accepted = mutableListOf<RecordOutcome>()
    for ((index, change) in changes.withIndex()) {
        when (val outcome = context.session.propose(change)) {
            is Success -> accepted += outcome.value
            is Failure -> {
                val message = "${outcome.message} ($index of ${changes.size} changes were accepted)"
                return CommandResult(outcome.code, message, listOf(changesTable(changes, accepted)))
            }
        }
    }
    val missing =
        awaitConfirmation(
            context.session.state.entries.values,
            accepted.last().offset,
            context.query,
            context.confirmationTimeout,
        )
    return confirmedResult(changesTable(changes, accepted), missing.map { "$it" }, context.session.state.entries.size)
}

/** Returns the result of accepted changes that all of [entries] entries except [missing] have confirmed. */
internal fun confirmedResult(changes: Table, missing: List<String>, entries: Int): CommandResult =
    if (missing.isEmpty()) {
        CommandResult(ResultCode.Accepted, "confirmed by $entries of $entries entries", listOf(changes))
    } else {
        val table = Table("unconfirmed", listOf("entry"), missing.map(::listOf))
        val message =
            "accepted, but confirmed by only ${entries - missing.size} of $entries entries; " +
                "no confirmation from ${missing.joinToString()}, which may have ended"
        CommandResult(ResultCode.NotConfirmed, message, listOf(changes, table))
    }

private fun changesTable(changes: List<ConfigurationChange>, accepted: List<RecordOutcome>): Table =
    Table(
        "changes",
        listOf("change", "item", "offset"),
        changes.zip(accepted).map { (change, outcome) ->
            cells(change::class.simpleName.orEmpty(), itemOf(change), outcome.offset)
        },
    )

/** Returns the item that [change] refers to; keys are shown as short digests. */
internal fun itemOf(change: ConfigurationChange): String =
    when (change) {
        is ConfigurationChange.SetTeam -> change.name.text
        is ConfigurationChange.GiveKey -> "${change.team} ${change.digest}"
        is ConfigurationChange.WithdrawKey -> "${change.team} ${change.digest}"
        is ConfigurationChange.SetPool -> change.name.text
        is ConfigurationChange.AddInstance -> change.name.text
        is ConfigurationChange.MoveInstance -> change.instance.text
        is ConfigurationChange.DrainInstance -> change.instance.text
        is ConfigurationChange.ReturnInstance -> change.instance.text
        is ConfigurationChange.RemoveInstance -> change.instance.text
        is ConfigurationChange.ObserveFailure -> change.instance.text
        is ConfigurationChange.ObserveRecovery -> change.instance.text
        is ConfigurationChange.SetZone -> change.zone.text
        is ConfigurationChange.SetDocument -> "${change.name}/${change.schemaVersion}"
    }
