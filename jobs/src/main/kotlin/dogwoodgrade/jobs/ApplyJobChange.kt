package dogwoodgrade.jobs

import dogwoodgrade.jobs.JobChange.Accept
import dogwoodgrade.jobs.JobChange.Cancel
import dogwoodgrade.jobs.JobChange.Checkpoint
import dogwoodgrade.jobs.JobChange.Claim
import dogwoodgrade.jobs.JobChange.EndEntry
import dogwoodgrade.jobs.JobChange.Finish
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import kotlin.io.encoding.Base64

/**
 * Applies [change] to this ledger.
 *
 * The function is deterministic. The caller must refuse records of an entry that has ended, and must apply an
 * [EndEntry] only for an accepted record that ends the entry.
 */
public fun JobLedger.apply(change: JobChange): Outcome<JobLedger> =
    when (change) {
        is Accept -> accept(change.request)
        is Claim -> claim(change)
        is Checkpoint -> checkpoint(change)
        is Finish -> finish(change)
        is Cancel -> cancel(change)
        is EndEntry -> Success(endEntry(change.entry))
    }

private fun JobLedger.accept(request: JobRequest): Outcome<JobLedger> {
    val size = decodedSizeOrNull(request.body)
    return when {
        request.identifier in unfinished || request.identifier in ended ->
            Failure(ResultCode.AlreadyExists, "job ${request.identifier} exists")
        size == null -> Failure(ResultCode.InvalidValue, "the body of job ${request.identifier} is not Base64 text")
        size > JobRequest.MAX_BODY_BYTES ->
            Failure(ResultCode.JobTooLarge, "the body has $size bytes, above ${JobRequest.MAX_BODY_BYTES}")
        maxOf(request.path.length, request.contentType.length) > JobRequest.MAX_TEXT_LENGTH ->
            Failure(ResultCode.InvalidValue, "path or content type exceeds ${JobRequest.MAX_TEXT_LENGTH} characters")
        unfinishedOf(request.team) >= JobLedger.MAX_UNFINISHED_PER_TEAM ->
            Failure(ResultCode.TooManyJobs, "team ${request.team} has ${JobLedger.MAX_UNFINISHED_PER_TEAM} jobs")
        unfinished.size >= JobLedger.MAX_UNFINISHED ->
            Failure(ResultCode.TooManyJobs, "all teams together have ${JobLedger.MAX_UNFINISHED} jobs")
        bodyCharacters + request.body.length > JobLedger.MAX_BODY_CHARACTERS ->
            Failure(ResultCode.TooManyJobs, "the bodies of all jobs exceed ${JobLedger.MAX_BODY_CHARACTERS} characters")
        else ->
            Success(
                copy(
                    unfinished = unfinished.with(request.identifier, UnfinishedJob(request, nextSequence)),
                    unfinishedByTeam = unfinishedByTeam.with(request.team, unfinishedOf(request.team) + 1),
                    bodyCharacters = bodyCharacters + request.body.length,
                    nextSequence = nextSequence + 1,
                ),
            )
    }
}

private fun JobLedger.claim(change: Claim): Outcome<JobLedger> =
    withJob(change.job) { job ->
        when (job.claim?.holder) {
            null -> Success(replacing(job.copy(claim = JobClaim(change.holder), claims = job.claims + 1)))
            change.holder -> Failure(ResultCode.StateUnchanged, "${change.holder} holds job ${change.job} already")
            else -> Failure(ResultCode.JobAlreadyClaimed, "job ${change.job} is claimed by ${job.claim.holder}")
        }
    }

private fun JobLedger.checkpoint(change: Checkpoint): Outcome<JobLedger> =
    withHeldJob(change.job, change.holder) { job ->
        val size = decodedSizeOrNull(change.checkpoint)
        when {
            size == null -> Failure(ResultCode.InvalidValue, "the checkpoint of job ${change.job} is not Base64 text")
            size > JobResult.MAX_BODY_BYTES ->
                Failure(ResultCode.JobTooLarge, "the checkpoint has $size bytes, above ${JobResult.MAX_BODY_BYTES}")
            else -> Success(replacing(job.copy(checkpoint = change.checkpoint)))
        }
    }

private fun JobLedger.finish(change: Finish): Outcome<JobLedger> =
    withHeldJob(change.job, change.holder) { job ->
        val size = decodedSizeOrNull(change.result.body)
        when {
            change.status !in 100..599 ->
                Failure(ResultCode.InvalidValue, "status ${change.status} is not an HTTP status")
            size == null -> Failure(ResultCode.InvalidValue, "the result of job ${change.job} is not Base64 text")
            size > JobResult.MAX_BODY_BYTES || change.result.contentType.length > JobRequest.MAX_TEXT_LENGTH ->
                Failure(ResultCode.JobTooLarge, "the result has $size bytes, above ${JobResult.MAX_BODY_BYTES}")
            else -> Success(ending(listOf(job to JobEnding.Finished(change.status, change.result))))
        }
    }

private fun JobLedger.cancel(change: Cancel): Outcome<JobLedger> =
    withJob(change.job) { job ->
        val claim = job.claim
        when {
            // The refusal must not reveal that the job of another team exists.
            job.request.team != change.team -> unknownJob(change.job)
            claim == null -> Success(ending(listOf(job to JobEnding.Cancelled)))
            !change.requestStop ->
                Failure(ResultCode.JobAlreadyClaimed, "job ${change.job} is claimed by ${claim.holder}")
            claim.stopRequested -> Failure(ResultCode.StateUnchanged, "job ${change.job} has a stop request already")
            else -> Success(replacing(job.copy(claim = claim.copy(stopRequested = true))))
        }
    }

private fun JobLedger.endEntry(entry: EntryIdentity): JobLedger {
    val (reclaimable, unreclaimable) =
        unfinished.values
            .filter { it.claim?.holder == entry }
            .sortedBy(UnfinishedJob::sequence)
            .partition { it.request.idempotent && it.claim?.stopRequested == false && it.claims < JobLedger.MAX_CLAIMS }
    val released = reclaimable.map { it.copy(claim = null) }
    // An idempotent job with a stop request is cancelled; whether any other job ran to its end is unknown.
    val endings =
        unreclaimable.map { job ->
            val cancelled = job.request.idempotent && job.claim?.stopRequested == true
            job to if (cancelled) JobEnding.Cancelled else JobEnding.OutcomeUnknown(entry)
        }
    return released.fold(this) { ledger, job -> ledger.replacing(job) }.ending(endings)
}

private fun JobLedger.ending(jobs: List<Pair<UnfinishedJob, JobEnding>>): JobLedger {
    if (jobs.isEmpty()) return this
    val added =
        jobs.mapIndexed { index, (job, ending) ->
            EndedJob(job.request.identifier, job.request.team, nextSequence + index, ending)
        }
    return copy(
        unfinished = added.fold(unfinished) { map, job -> map.without(job.identifier) },
        unfinishedByTeam =
            added.fold(unfinishedByTeam) { map, job ->
                val left = map.getValue(job.team) - 1
                if (left == 0) map.without(job.team) else map.with(job.team, left)
            },
        bodyCharacters = bodyCharacters - jobs.sumOf { (job, _) -> job.request.body.length },
        ended = removeOldest(added.fold(ended) { map, job -> map.with(job.identifier, job) }),
        nextSequence = nextSequence + jobs.size,
    )
}

/** Removes the oldest jobs of the teams with the most ended jobs, so that a burst of one team spares other results. */
private fun removeOldest(ended: Map<JobRequestIdentifier, EndedJob>): Map<JobRequestIdentifier, EndedJob> {
    if (ended.size <= JobLedger.MAX_ENDED) return ended
    val excess = ended.size - JobLedger.ENDED_AFTER_REMOVAL
    val counts = ended.values.groupingBy(EndedJob::team).eachCountTo(HashMap())
    val oldestFirst = HashMap<TeamName, Iterator<EndedJob>>()
    val removed = HashSet<JobRequestIdentifier>()
    repeat(excess) {
        val largest = counts.entries.minWith(compareBy({ -it.value }, { it.key }))
        val team = largest.key
        largest.setValue(largest.value - 1)
        val jobs =
            oldestFirst.getOrPut(team) {
                ended.values
                    .filter { it.team == team }
                    .sortedBy(EndedJob::sequence)
                    .iterator()
            }
        removed += jobs.next().identifier
    }
    return removed.fold(ended) { map, identifier -> map.without(identifier) }
}

private inline fun JobLedger.withJob(
    identifier: JobRequestIdentifier,
    change: (UnfinishedJob) -> Outcome<JobLedger>,
): Outcome<JobLedger> =
    unfinished[identifier]?.let(change) ?: when (ended[identifier]?.ending) {
        null -> unknownJob(identifier)
        is JobEnding.Finished -> Failure(ResultCode.JobAlreadyFinished, "job $identifier has finished")
        is JobEnding.Cancelled -> Failure(ResultCode.JobCancelled, "job $identifier was cancelled")
        is JobEnding.OutcomeUnknown ->
            Failure(ResultCode.JobOutcomeUnknown, "the outcome of job $identifier is unknown; the job is not run again")
    }

private inline fun JobLedger.withHeldJob(
    identifier: JobRequestIdentifier,
    holder: EntryIdentity,
    change: (UnfinishedJob) -> Outcome<JobLedger>,
): Outcome<JobLedger> =
    withJob(identifier) { job ->
        if (job.claim?.holder == holder) {
            change(job)
        } else {
            Failure(ResultCode.NotClaimHolder, "$holder does not hold the claim of job $identifier")
        }
    }

private fun JobLedger.replacing(job: UnfinishedJob): JobLedger = copy(
    unfinished = unfinished.with(job.request.identifier, job),
)

private fun unknownJob(identifier: JobRequestIdentifier): Failure =
    Failure(ResultCode.UnknownJob, "job $identifier does not exist or has been removed")

private fun decodedSizeOrNull(text: String): Int? =
    try {
        Base64.decode(text).size
    } catch (malformed: IllegalArgumentException) {
        null
    }
