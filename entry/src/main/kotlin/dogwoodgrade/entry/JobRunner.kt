package dogwoodgrade.entry

import dogwoodgrade.control.ControlBody
import dogwoodgrade.jobs.ClaimContext
import dogwoodgrade.jobs.JobChange
import dogwoodgrade.jobs.JobRequest
import dogwoodgrade.jobs.JobRequestIdentifier
import dogwoodgrade.jobs.JobResult
import dogwoodgrade.jobs.UnfinishedJob
import dogwoodgrade.jobs.planClaims
import dogwoodgrade.jobs.updateWaitingSince
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Execution
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ResultCode
import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/** Response of an endpoint to a job, or the reason why there is none. */
private sealed interface JobResponse {
    data class Received(val status: Int, val result: JobResult) : JobResponse

    data class Refused(val refusal: CallerRefusal) : JobResponse

    data object Broken : JobResponse
}

/**
 * Claims accepted jobs and runs them like requests of a caller. A job starts only after this entry has folded its own
 * claim. A job that certainly did not run is retried. After any other lost response the outcome is unknown, and only an
 * idempotent job is retried.
 *
 * @param submit hands a request to the workers
 * @param propose appends a record until its outcome is known
 */
internal class JobRunner(
    private val identity: EntryIdentity,
    private val tables: EntryTables,
    private val now: () -> Instant,
    private val submit: (EntryEvent.Arrived) -> Boolean,
    private val propose: suspend (ControlBody, Duration) -> Outcome<*>,
) {
    private var waitingSince: Map<JobRequestIdentifier, Instant> = emptyMap()
    private val pending = HashSet<JobRequestIdentifier>()
    private val running = HashSet<JobRequestIdentifier>()

    @Volatile
    private var isStopping = false

    /** Whether this entry neither runs nor claims a job. */
    val isIdle: Boolean get() = synchronized(this) { running.isEmpty() && pending.isEmpty() }

    /** Stops claiming jobs; jobs that are already claimed run to their end. */
    fun stop() {
        isStopping = true
    }

    /** Claims and starts the jobs that are due; called on every tick. */
    fun run(scope: CoroutineScope) {
        val ledger = tables.control.state.jobs
        if (ledger.unfinished.isEmpty()) return
        startClaimed(scope, ledger.unfinished.values)
        if (isStopping || !tables.control.state.isJoined(identity)) return
        for (claim in plan()) scope.launch { claim(claim) }
    }

    private fun plan(): List<JobChange.Claim> =
        synchronized(this) {
            val time = now()
            val state = tables.control.state
            waitingSince = updateWaitingSince(waitingSince, state.jobs, time)
            val situation =
                ClaimContext(
                    entry = identity,
                    live = tables.members.liveEntries(time),
                    waitingSince = waitingSince,
                    freeSlots = { pool ->
                        val reserve = state.configuration.pools[pool]?.urgentReserve ?: 0
                        tables.endpoints.freeCapacity(pool, reserve, time).normal
                    },
                    mayStart = { _, planned -> planned < MAX_CLAIMS_PER_TEAM },
                    pending = pending.toSet(),
                )
            planClaims(state.jobs, situation, time).onEach { pending += it.job }
        }

    private suspend fun claim(claim: JobChange.Claim) {
        val outcome = propose(ControlBody.ChangeJob(claim), PROPOSE_TIMEOUT)
        if (outcome is Outcome.Failure) logger.debug { "jobs: claim of ${claim.job} refused: ${outcome.message}" }
        synchronized(this) { pending -= claim.job }
    }

    private fun startClaimed(scope: CoroutineScope, jobs: Collection<UnfinishedJob>) {
        val own = jobs.filter { it.claim?.holder == identity }
        synchronized(this) { own.filter { running.add(it.request.identifier) } }
            .forEach { job -> scope.launch { runJob(job) } }
    }

    private suspend fun runJob(job: UnfinishedJob) {
        val identifier = job.request.identifier
        while (true) {
            when (val answer = attempt(job.request)) {
                is JobResponse.Received -> return finish(identifier, answer.status, answer.result)
                is JobResponse.Refused -> {
                    val refusal = answer.refusal
                    val mayRetry = refusal.execution == Execution.No || job.request.idempotent
                    if (!mayRetry || isFinal(refusal.code)) return finishRefused(identifier, refusal)
                }
                JobResponse.Broken ->
                    if (!job.request.idempotent) return finishRefused(identifier, brokenResponse())
            }
            delay(RETRY_DELAY)
        }
    }

    private fun isFinal(code: ResultCode): Boolean =
        code == ResultCode.PoisonousRequest || code == ResultCode.UnknownService

    private fun brokenResponse() = CallerRefusal(
        ResultCode.AnswerBroken,
        "the endpoint broke off its answer",
        Execution.Unknown,
    )

    private suspend fun attempt(request: JobRequest): JobResponse {
        val answer = CompletableDeferred<JobResponse>()
        val event = EntryEvent.Arrived(callerRequestOf(request), ReplyOnce(collectingReply(answer))) {}
        if (!submit(event)) return JobResponse.Refused(CallerRefusal(ResultCode.Overloaded, "the entry is overloaded"))
        return answer.await()
    }

    private fun callerRequestOf(request: JobRequest): CallerRequest =
        CallerRequest(
            identifier = RequestIdentifier(request.identifier.text),
            method = "POST",
            service = request.service,
            target = "/${request.service}/${request.path}",
            key = null,
            requestClass = request.requestClass,
            idempotent = request.idempotent,
            timeout = JOB_ATTEMPT_TIMEOUT,
            headers = listOf("Content-Type" to request.contentType, "Idempotency-Key" to request.identifier.text),
            body = Base64.getDecoder().decode(request.body),
            jobTeam = request.team,
        )

    private suspend fun finish(identifier: JobRequestIdentifier, status: Int, result: JobResult) {
        val change = ControlBody.ChangeJob(JobChange.Finish(identifier, identity, status, result))
        while (tables.control.state.jobs.unfinished[identifier]
                ?.claim
                ?.holder == identity
        ) {
            val outcome = propose(change, PROPOSE_TIMEOUT)
            if (outcome is Outcome.Success) break
            delay(RETRY_DELAY)
        }
        synchronized(this) { running -= identifier }
    }

    private suspend fun finishRefused(identifier: JobRequestIdentifier, refusal: CallerRefusal) {
        val body = Base64.getEncoder().encodeToString(refusalBody(refusal, identifier.text).bytes)
        finish(identifier, refusal.code.httpStatus, JobResult(body, "application/json", truncated = false))
    }

    private companion object {
        const val MAX_CLAIMS_PER_TEAM = 4
        val PROPOSE_TIMEOUT: Duration = 10.seconds
        val RETRY_DELAY: Duration = 500.milliseconds

        /** Longest time that a claimed job waits for a slot before it is queued again. */
        val JOB_ATTEMPT_TIMEOUT: Duration = 600.seconds
    }
}

/** Returns a reply that collects a response up to the size that the ledger keeps. */
private fun collectingReply(answer: CompletableDeferred<JobResponse>): CallerReply =
    CallerReply(
        refuse = { answer.complete(JobResponse.Refused(it)) },
        begin = { head ->
            val body = Buffer.buffer()
            var truncated = false
            BodySink(
                write = { part ->
                    val remaining = JobResult.MAX_BODY_BYTES - body.length()
                    truncated = truncated || part.length() > remaining
                    body.appendBuffer(part, 0, minOf(remaining, part.length()))
                },
                isFull = { false },
                whenWritable = { action -> action() },
                end = {
                    val type = head.headers
                        .firstOrNull { it.first.equals("content-type", true) }
                        ?.second
                        .orEmpty()
                    val text = Base64.getEncoder().encodeToString(body.bytes)
                    answer.complete(JobResponse.Received(head.status, JobResult(text, type, truncated)))
                },
                abort = { answer.complete(JobResponse.Broken) },
            )
        },
    )
