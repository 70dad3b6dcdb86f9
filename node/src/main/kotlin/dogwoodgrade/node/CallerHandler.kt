package dogwoodgrade.node

import dogwoodgrade.platform.CallerReply
import dogwoodgrade.platform.CallerRequest
import dogwoodgrade.platform.CallerVerb
import dogwoodgrade.platform.OperatorConfiguration
import dogwoodgrade.platform.QueueRoute
import dogwoodgrade.platform.readSubmission
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** How long callers wait that do not say so. */
private val defaultTimeLimit: Duration = 3.seconds

/** Part of a caller's time that is left for the response to travel. */
private val replyMargin: Duration = 250.milliseconds

/** How long a request waits for the first configuration; after a start it is read within some hundred milliseconds. */
private val startTime: Duration = 800.milliseconds

/** When a refused caller may come back. */
private val retryAfter: Duration = 1.seconds

/**
 * Answers callers from the tables, and makes durable what they submit.
 *
 * @param readNewJobs adds to the table what the log has beyond it; `false` if the log gives no whole answer
 */
internal class CallerHandler(
    private val configuration: ConfigurationTable,
    private val jobs: JobTable,
    private val intake: JobIntake,
    private val clock: NodeClock,
    private val metrics: NodeMetrics,
    private val readNewJobs: suspend () -> Boolean,
) {
    /** Returns the reply to [request]. */
    suspend fun handle(request: CallerRequest): CallerReply {
        val receivedAt = clock.now()
        val reply = route(request)
        metrics.answered(request.verb, reply, clock.now() - receivedAt)
        return reply
    }

    private suspend fun route(request: CallerRequest): CallerReply {
        val current = configuration.awaitCurrent(startTime) ?: return refuse("no configuration", request)
        val route = selectRoute(current, request.host, request.path)
        if (route == null) {
            logger.info { "caller: no queue host=${request.host} path=${request.path} version=${current.version}" }
            return CallerReply.NoSuchQueue
        }
        val team = request.key?.let { current.keys[it] }
        if (!route.openToAll && team == null) {
            logger.info { "caller: unknown key queue=${route.queue} path=${request.path} version=${current.version}" }
            return CallerReply.UnknownKey
        }
        val name = request.path.removePrefix(route.pathPrefix)
        if (name.isEmpty()) return CallerReply.Pending(jobs.pending(route.queue))
        val identifier = JobIdentifier(name)
        return when (request.verb) {
            CallerVerb.Submit -> submit(request, current, route, team.takeIf { !route.openToAll }, identifier)
            CallerVerb.Query -> query(identifier)
            CallerVerb.Cancel -> cancel(request, identifier)
        }
    }

    private fun limitOf(request: CallerRequest): Duration =
        maxOf((request.timeLimit ?: defaultTimeLimit) - replyMargin, replyMargin)

    private fun refuse(reason: String, request: CallerRequest): CallerReply {
        logger.info { "caller: refused path=${request.path} reason=$reason" }
        return CallerReply.NotRun(retryAfter)
    }

    private suspend fun submit(
        request: CallerRequest,
        current: OperatorConfiguration,
        route: QueueRoute,
        team: String?,
        identifier: JobIdentifier,
    ): CallerReply {
        if (jobs[identifier] != null) return CallerReply.Accepted
        val submission = readSubmission(request) ?: return CallerReply.Malformed
        val pool = current.scheduling.queues[route.queue]?.pool ?: return CallerReply.NoSuchQueue
        val job =
            Job(
                identifier,
                route.queue,
                pool,
                team,
                submission.payload,
                submission.steps,
                submission.repetition,
                clock.wall(),
            )
        return when (intake.append(FleetRecords.jobKey(identifier), FleetRecords.encode(job), limitOf(request))) {
            IntakeOutcome.Durable -> {
                jobs.accepted(job)
                logger.info { "caller: accepted job=$identifier queue=${route.queue} version=${current.version}" }
                CallerReply.Accepted
            }
            IntakeOutcome.NotDone -> refuse("the store does not take the job", request)
            IntakeOutcome.Unknown -> {
                logger.info { "caller: outcome unknown job=$identifier queue=${route.queue}" }
                CallerReply.Unknown
            }
        }
    }

    private suspend fun query(identifier: JobIdentifier): CallerReply {
        val found = lookUp(identifier)
        return found.job?.let { CallerReply.State(it.state) } ?: unknown(identifier, found.complete)
    }

    private suspend fun cancel(request: CallerRequest, identifier: JobIdentifier): CallerReply {
        val found = lookUp(identifier)
        val known = found.job ?: return unknown(identifier, found.complete)
        if (known.cancelled) return CallerReply.Accepted
        return when (intake.append(FleetRecords.cancellationKey(identifier), CANCELLED, limitOf(request))) {
            IntakeOutcome.Durable -> {
                jobs.cancelled(identifier)
                logger.info { "caller: cancelled job=$identifier" }
                CallerReply.Accepted
            }
            IntakeOutcome.NotDone -> refuse("the store does not take the cancellation", request)
            IntakeOutcome.Unknown -> CallerReply.Unknown
        }
    }

    /** Looks a job up; one that is not in the table is looked for in what the log has beyond the table. */
    private suspend fun lookUp(identifier: JobIdentifier): Lookup {
        jobs[identifier]?.let { return Lookup(it, complete = true) }
        val complete = readNewJobs()
        return Lookup(jobs[identifier], complete)
    }

    /** A job that is not in the table does not exist if the table has all of the log. */
    private fun unknown(identifier: JobIdentifier, complete: Boolean): CallerReply {
        logger.info { "caller: unknown job=$identifier read_to=${jobs.readTo()} complete=$complete" }
        return if (complete) CallerReply.NoSuchJob else CallerReply.NotRun(retryAfter)
    }

    /**
     * Result of looking a job up.
     *
     * @property complete the table had all of the log
     */
    private data class Lookup(
        val job: KnownJob?,
        val complete: Boolean,
    )

    private companion object {
        val CANCELLED = "{}".encodeToByteArray()
    }
}
