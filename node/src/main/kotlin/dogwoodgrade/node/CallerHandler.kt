package dogwoodgrade.node

import dogwoodgrade.ownership.ClockReading
import dogwoodgrade.platform.JobApiReply
import dogwoodgrade.platform.JobApiRequest
import dogwoodgrade.platform.JobOperation
import dogwoodgrade.platform.OperatorConfiguration
import dogwoodgrade.platform.QueueRoute
import dogwoodgrade.platform.readSubmission
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.jobIdentifierOrNull
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Time limit of requests that state none. */
private val DEFAULT_TIME_LIMIT: Duration = 3.seconds

/** Part of the time limit that is reserved for the transmission of the response. */
private val REPLY_MARGIN: Duration = 250.milliseconds

/** Longest wait of a request for the first configuration, which is read within some 100 ms after a start. */
private val LONGEST_CONFIGURATION_WAIT: Duration = 800.milliseconds

/** Time after which a refused caller may try again. */
private val RETRY_AFTER: Duration = 1.seconds

/** Age up to which knowledge is shown as the number of waiting jobs; the platform's protocol allows 2 s. */
private val LONGEST_COUNT_AGE: Duration = 2.seconds

/** Age up to which a state that may have changed is shown. A cut of a second or two is no reason to refuse it. */
private val LONGEST_STATE_AGE: Duration = 3.seconds

/**
 * Age up to which the configuration proves that a queue or a key does not exist; the platform expects a new one to be
 * in force everywhere within 2 s.
 */
private val LONGEST_CONFIGURATION_AGE: Duration = 2.seconds

/**
 * Answers queries of callers from the tables, and makes their submissions and cancellations durable.
 *
 * @param readNewJobs adds the records that the log has beyond the job table; returns `false` if it could not read them
 * all
 * @param readNewStates adds the progress, or its summary, that the log has beyond the job table
 * @param refresh reads what is not fresh in the tables, and returns how old they are then
 * @param ages tells how old the tables are at a given time
 * @param hasNewestConfiguration asks the store whether the newest configuration is known
 */
internal class CallerHandler(
    private val configuration: ConfigurationTable,
    private val jobs: JobTable,
    private val intake: JobIntake,
    private val clock: NodeClock,
    private val metrics: NodeMetrics,
    private val readNewJobs: suspend () -> Boolean,
    private val readNewStates: suspend () -> Unit,
    private val refresh: suspend () -> TableAges,
    private val ages: (ClockReading) -> TableAges,
    private val hasNewestConfiguration: suspend () -> Boolean,
) {
    /** Returns the reply to [request]. */
    suspend fun handle(request: JobApiRequest): JobApiReply {
        val receivedAt = clock.now()
        val reply = route(request)
        metrics.answered(request.verb, reply, clock.now() - receivedAt)
        return reply
    }

    private suspend fun route(request: JobApiRequest): JobApiReply {
        val current =
            configuration.awaitCurrent(LONGEST_CONFIGURATION_WAIT) ?: return refuse("no configuration", request)
        val route = selectRoute(current, request.host, request.path)
        if (route == null) {
            return refuseUnknown(JobApiReply.NoSuchQueue, "no queue host=${request.host}", request, current)
        }
        val team = request.key?.let { current.keys[it] }
        if (!route.openToAll && team == null) {
            return refuseUnknown(JobApiReply.UnknownKey, "unknown key queue=${route.queue}", request, current)
        }
        val name = request.path.removePrefix(route.pathPrefix)
        if (name.isEmpty()) return pending(request, route.queue)
        val identifier = jobIdentifierOrNull(name) ?: return JobApiReply.Malformed
        return when (request.verb) {
            JobOperation.Submit -> submit(request, current, route, team.takeIf { !route.openToAll }, identifier)
            JobOperation.Query -> query(request, identifier)
            JobOperation.Cancel -> cancel(request, identifier)
        }
    }

    /** Returns [reply] to a request that the configuration does not know, unless it may have been replaced since. */
    private suspend fun refuseUnknown(
        reply: JobApiReply,
        reason: String,
        request: JobApiRequest,
        current: OperatorConfiguration,
    ): JobApiReply {
        val age = ages(clock.reading()).configuration
        if (!isWithin(age, LONGEST_CONFIGURATION_AGE) && !hasNewestConfiguration()) {
            return refuse("the configuration is not known lately enough, $reason age=$age", request)
        }
        logger.info { "caller: $reason path=${request.path} version=${current.version} age=$age" }
        return reply
    }

    private fun timeLimitOf(request: JobApiRequest): Duration =
        maxOf((request.timeLimit ?: DEFAULT_TIME_LIMIT) - REPLY_MARGIN, REPLY_MARGIN)

    private fun refuse(reason: String, request: JobApiRequest): JobApiReply {
        logger.info { "caller: refused path=${request.path} reason=$reason" }
        return JobApiReply.NotRun(RETRY_AFTER)
    }

    private suspend fun submit(
        request: JobApiRequest,
        current: OperatorConfiguration,
        route: QueueRoute,
        team: String?,
        identifier: JobIdentifier,
    ): JobApiReply {
        if (jobs[identifier] != null) return JobApiReply.Accepted
        val submission = readSubmission(request) ?: return JobApiReply.Malformed
        val queue = current.scheduling.queues[route.queue] ?: return JobApiReply.NoSuchQueue
        val job =
            Job(
                identifier,
                route.queue,
                queue.pool,
                team,
                submission.payload,
                submission.steps,
                submission.repetition,
                clock.wallTime(),
                queue,
            )
        return when (intake.append(FleetRecords.jobKey(identifier), FleetRecords.encode(job), timeLimitOf(request))) {
            IntakeOutcome.Durable -> {
                jobs.addAccepted(job)
                logger.info { "caller: accepted job=$identifier queue=${route.queue} version=${current.version}" }
                JobApiReply.Accepted
            }
            IntakeOutcome.NotDone -> refuse("the store does not take the job", request)
            IntakeOutcome.TooLarge -> JobApiReply.Malformed
            IntakeOutcome.Unknown -> {
                logger.info { "caller: outcome unknown job=$identifier queue=${route.queue}" }
                JobApiReply.Unknown
            }
        }
    }

    private suspend fun pending(request: JobApiRequest, queue: String): JobApiReply {
        val current = refresh()
        val count = jobs.countPending(queue)
        // The table may have begun to be filled anew after its ages were told.
        if (!count.complete || !current.isWithin(LONGEST_COUNT_AGE)) {
            return refuse("the jobs are not all known, or not lately enough $count $current", request)
        }
        logger.info { "caller: pending queue=$queue $count $current" }
        return JobApiReply.Pending(count.pending)
    }

    private suspend fun query(request: JobApiRequest, identifier: JobIdentifier): JobApiReply {
        val found = lookUp(identifier)
        val job = found.job ?: return unknown(identifier, found.complete)
        // Callers ask most often when the job has just ended.
        if (!job.state.ended) readNewStates()
        val state = (jobs[identifier] ?: job).state
        val current = ages(clock.reading())
        // A state that a job ends with does not change any more.
        if (!state.ended && !isWithin(current.states, LONGEST_STATE_AGE)) {
            return refuse("the state is not known lately enough $current", request)
        }
        logger.info { "caller: state job=$identifier state=$state $current" }
        return JobApiReply.State(state)
    }

    /**
     * Cancels a job. A job that is not in the log is cancelled as well, because another instance may be about to append
     * it: an append without an answer is repeated, also after its caller has left.
     */
    private suspend fun cancel(request: JobApiRequest, identifier: JobIdentifier): JobApiReply {
        val found = lookUp(identifier)
        if (found.job == null && !found.complete) return unknown(identifier, complete = false)
        if (found.job?.cancelled == true) return JobApiReply.Accepted
        return when (intake.append(FleetRecords.cancellationKey(identifier), cancellationValue, timeLimitOf(request))) {
            IntakeOutcome.Durable -> {
                jobs.markCancelled(identifier)
                logger.info { "caller: cancelled job=$identifier known=${found.job != null}" }
                if (found.job == null) JobApiReply.NoSuchJob else JobApiReply.Accepted
            }
            IntakeOutcome.NotDone -> refuse("the store does not take the cancellation", request)
            IntakeOutcome.TooLarge -> JobApiReply.Malformed
            IntakeOutcome.Unknown -> JobApiReply.Unknown
        }
    }

    /** Looks a job up in the table; if it is missing, reads the new records of the log first. */
    private suspend fun lookUp(identifier: JobIdentifier): Lookup {
        jobs[identifier]?.let { return Lookup(it, complete = true) }
        if (jobs.followsSummary()) {
            // The summary is much shorter than the records of the jobs that it does not name yet.
            readNewStates()
            jobs[identifier]?.let { return Lookup(it, complete = true) }
        }
        val complete = readNewJobs()
        return Lookup(jobs[identifier], complete)
    }

    /** Returns the reply for a job that is not in the table; it does not exist if the table is [complete]. */
    private fun unknown(identifier: JobIdentifier, complete: Boolean): JobApiReply {
        logger.info { "caller: unknown job=$identifier read_to=${jobs.readTo()} complete=$complete" }
        return if (complete) JobApiReply.NoSuchJob else JobApiReply.NotRun(RETRY_AFTER)
    }

    /**
     * Result of looking a job up.
     *
     * @property complete whether a job that was not found does not exist
     */
    private data class Lookup(
        val job: KnownJob?,
        val complete: Boolean,
    )

    private companion object {
        val cancellationValue = "{}".encodeToByteArray()
    }
}
