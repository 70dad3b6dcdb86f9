package dogwoodgrade.entry

import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.ControlState
import dogwoodgrade.control.RecordOutcome
import dogwoodgrade.jobs.EndedJob
import dogwoodgrade.jobs.JobChange
import dogwoodgrade.jobs.JobEnding
import dogwoodgrade.jobs.JobRequest
import dogwoodgrade.jobs.JobRequestIdentifier
import dogwoodgrade.jobs.UnfinishedJob
import dogwoodgrade.membership.FreshnessStatus
import dogwoodgrade.model.Execution
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.flatMap
import dogwoodgrade.model.map
import dogwoodgrade.shares.QueueOwner
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.Base64
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val STATUS_ACCEPTED = 202

/**
 * HTTP routes that accept, show and cancel jobs. A job is accepted only after its record was folded, so a response with
 * status 202 means that the job survives the loss of every entry.
 */
internal class JobRoutes(
    private val scope: CoroutineScope,
    private val state: () -> ControlState,
    private val freshness: () -> FreshnessStatus,
    private val isStopping: () -> Boolean,
    private val propose: suspend (ControlBody, Duration) -> Outcome<RecordOutcome>,
) {
    /** Adds the routes to [router]. */
    fun addTo(router: Router) {
        router.post("/jobs/*").handler { context -> answer(context) { accept(context) } }
        router.get("/jobs/:job").handler { context -> answer(context) { show(context) } }
        router.delete("/jobs/:job").handler { context -> answer(context) { cancel(context) } }
    }

    private fun answer(context: RoutingContext, action: suspend () -> Outcome<JsonObject>) {
        scope.launch {
            val outcome = action()
            val response = context.response()
            if (response.closed()) return@launch
            response.putHeader("Content-Type", "application/json")
            when (outcome) {
                is Outcome.Success -> {
                    if (context.request().method().name() == "POST") response.statusCode = STATUS_ACCEPTED
                    response.end(outcome.value.toBuffer())
                }
                is Outcome.Failure -> {
                    // Without an answer from the log it is unknown whether the job was accepted.
                    val execution = if (outcome.code == ResultCode.LogAnswerLost) Execution.Unknown else Execution.No
                    val identifier = context.request().getHeader("X-Request-Id").orEmpty()
                    response.statusCode = outcome.code.httpStatus
                    response.end(refusalBody(CallerRefusal(outcome.code, outcome.message, execution), identifier))
                }
            }
        }
    }

    private suspend fun accept(context: RoutingContext): Outcome<JsonObject> {
        if (isStopping()) return Outcome.Failure(ResultCode.Stopping, "the entry is shutting down")
        val raw = rawRequestOf(context)
        val request =
            parseRequest(raw, raw.path.removePrefix("/jobs")).flatMap { parsed ->
                admit(state(), parsed, freshness()).flatMap { jobRequestOf(parsed, it) }
            }
        return when (request) {
            is Outcome.Failure -> request
            is Outcome.Success ->
                propose(ControlBody.ChangeJob(JobChange.Accept(request.value)), PROPOSE_TIMEOUT).map {
                    JsonObject().put("job", request.value.identifier.text).put("status", "accepted")
                }
        }
    }

    private fun jobRequestOf(parsed: CallerRequest, admission: Admission): Outcome<JobRequest> {
        val owner =
            admission.owner as? QueueOwner.Team
                ?: return Outcome.Failure(ResultCode.MalformedRequest, "open queues do not accept jobs")
        val header = parsed.headers.toMap()
        return Outcome.Success(
            JobRequest(
                JobRequestIdentifier(UUID.randomUUID().toString()),
                owner.name,
                admission.pool.name,
                parsed.service,
                parsed.target.removePrefix("/${parsed.service}").removePrefix("/"),
                parsed.requestClass,
                header.keys.any { it == "idempotency-key" },
                Base64.getEncoder().encodeToString(parsed.body),
                header["content-type"] ?: "application/octet-stream",
            ),
        )
    }

    private fun show(context: RoutingContext): Outcome<JsonObject> =
        withJob(context) { identifier, team ->
            val jobs = state().jobs
            val waiting = jobs.unfinished[identifier]?.takeIf { it.request.team == team }
            val ended = jobs.ended[identifier]?.takeIf { it.team == team }
            when {
                waiting != null -> Outcome.Success(describe(waiting))
                ended != null -> Outcome.Success(describe(ended))
                else -> Outcome.Failure(ResultCode.UnknownJob, "job $identifier does not exist")
            }
        }

    private suspend fun cancel(context: RoutingContext): Outcome<JsonObject> {
        val change =
            withJob(context) { identifier, team ->
                Outcome.Success(JobChange.Cancel(identifier, team, requestStop = true))
            }
        return when (change) {
            is Outcome.Failure -> change
            is Outcome.Success ->
                propose(ControlBody.ChangeJob(change.value), PROPOSE_TIMEOUT).map {
                    val cancelled = state().jobs.ended[change.value.job]?.ending == JobEnding.Cancelled
                    JsonObject()
                        .put(
                            "job",
                            change.value.job.text,
                        ).put("status", if (cancelled) "cancelled" else "stopping")
                }
        }
    }

    /** Calls [action] with the job of the path and the team of the key; a team has access only to its own jobs. */
    private inline fun <Value> withJob(
        context: RoutingContext,
        action: (JobRequestIdentifier, TeamName) -> Outcome<Value>,
    ): Outcome<Value> {
        val raw = rawRequestOf(context)
        val identifier =
            JobRequestIdentifier.parseOrNull(context.pathParam("job").orEmpty())
                ?: return Outcome.Failure(ResultCode.UnknownJob, "the path does not contain a valid job identifier")
        val key = keyOf(raw) ?: return Outcome.Failure(ResultCode.MissingKey, "jobs need a key")
        val team =
            state().configuration.teamOf(key)
                ?: return Outcome.Failure(ResultCode.UnknownKey, "the key is not given to any team")
        return action(identifier, team.name)
    }

    private fun describe(job: UnfinishedJob): JsonObject =
        JsonObject()
            .put("job", job.request.identifier.text)
            .put("status", if (job.claim == null) "waiting" else "running")

    private fun describe(job: EndedJob): JsonObject {
        val description = JsonObject().put("job", job.identifier.text)
        return when (val ending = job.ending) {
            is JobEnding.Finished ->
                description
                    .put("status", "finished")
                    .put("httpStatus", ending.status)
                    .put("contentType", ending.result.contentType)
                    .put("truncated", ending.result.truncated)
                    .put("body", ending.result.body)
            JobEnding.Cancelled -> description.put("status", "cancelled")
            is JobEnding.OutcomeUnknown ->
                description.put("status", "outcome-unknown").put("code", ResultCode.JobOutcomeUnknown.number)
        }
    }

    private companion object {
        val PROPOSE_TIMEOUT: Duration = 5.seconds
    }
}
