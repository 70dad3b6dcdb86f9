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
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** How long callers wait that do not say so. */
private val defaultTimeLimit: Duration = 3.seconds

/** Part of a caller's time that is left for the response to travel. */
private val replyMargin: Duration = 250.milliseconds

/** When a refused caller may come back. */
private val retryAfter: Duration = 1.seconds

/** Pause between two looks at a job table that is behind. */
private val catchUpPause: Duration = 20.milliseconds

/**
 * Answers callers from the tables, and makes durable what they submit.
 *
 * @param endOfJobs asks the log where the jobs' topic ends; `null` if it gives no answer
 */
internal class CallerHandler(
    private val configuration: ConfigurationTable,
    private val jobs: JobTable,
    private val intake: JobIntake,
    private val clock: NodeClock,
    private val metrics: NodeMetrics,
    private val endOfJobs: suspend () -> Long?,
) {
    /** Returns the reply to [request]. */
    suspend fun handle(request: CallerRequest): CallerReply {
        val receivedAt = clock.now()
        val reply = route(request)
        metrics.answered(request.verb, reply, clock.now() - receivedAt)
        return reply
    }

    private suspend fun route(request: CallerRequest): CallerReply {
        val current = configuration.current() ?: return refuse("no configuration", request)
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
            CallerVerb.Query -> find(identifier, request)?.let { CallerReply.State(it.state) } ?: unknown(identifier)
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

    private suspend fun cancel(request: CallerRequest, identifier: JobIdentifier): CallerReply {
        val known = find(identifier, request) ?: return unknown(identifier)
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

    /** Returns the job; one that is not in the table is looked for in what the log has beyond the table. */
    private suspend fun find(identifier: JobIdentifier, request: CallerRequest): KnownJob? {
        jobs[identifier]?.let { return it }
        val end = endOfJobs() ?: return null
        val until = clock.now() + limitOf(request) / 2
        while (jobs.readTo() < end && clock.now() < until) delay(catchUpPause)
        return jobs[identifier]
    }

    /** A job that is not in the table does not exist if the table has all of the log. */
    private suspend fun unknown(identifier: JobIdentifier): CallerReply {
        val end = endOfJobs()
        val readTo = jobs.readTo()
        logger.info { "caller: unknown job=$identifier read_to=$readTo end=$end" }
        return if (end != null && readTo >= end && jobs[identifier] == null) {
            CallerReply.NoSuchJob
        } else {
            CallerReply.NotRun(retryAfter)
        }
    }

    private companion object {
        val CANCELLED = "{}".encodeToByteArray()
    }
}
