package dogwoodgrade.jobs

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName

/**
 * A request that is stored and runs without the caller waiting for it.
 *
 * @property path path and query below the service, without a leading `/`
 * @property idempotent whether the job may run again after the entry that ran it has ended
 * @property body Base64 text of the request body, at most [MAX_BODY_BYTES] bytes when decoded
 */
public data class JobRequest(
    public val identifier: JobRequestIdentifier,
    public val team: TeamName,
    public val pool: PoolName,
    public val service: ServiceName,
    public val path: String,
    public val requestClass: RequestClass,
    public val idempotent: Boolean,
    public val body: String,
    public val contentType: String,
) {
    public companion object {
        /** Largest size of a decoded body, in bytes. */
        public const val MAX_BODY_BYTES: Int = 16 * 1024

        /** Largest length of a path and of a content type, in characters. */
        public const val MAX_TEXT_LENGTH: Int = 2_048
    }
}

/**
 * An accepted job that has not ended.
 *
 * @property sequence position in the order of acceptance
 * @property claim the entry that may run the job, or `null` if any entry may claim it
 * @property claims number of accepted claims so far
 * @property checkpoint progress that the last holder stored for a later run, as Base64 text
 */
public data class UnfinishedJob(
    public val request: JobRequest,
    public val sequence: Long,
    public val claim: JobClaim? = null,
    public val claims: Int = 0,
    public val checkpoint: String? = null,
)

/**
 * The claim of an entry on a job.
 *
 * @property stopRequested whether the team requested to stop the job; the holder decides whether this is still possible
 */
public data class JobClaim(
    public val holder: EntryIdentity,
    public val stopRequested: Boolean = false,
)

/**
 * A job that has ended. Its request body is not kept.
 *
 * @property sequence position in the order in which jobs ended
 */
public data class EndedJob(
    public val identifier: JobRequestIdentifier,
    public val team: TeamName,
    public val sequence: Long,
    public val ending: JobEnding,
)

/** How a job ended. */
public sealed interface JobEnding {
    /** An endpoint answered with HTTP [status]. */
    public data class Finished(public val status: Int, public val result: JobResult) : JobEnding

    /** The team cancelled the job; it is not run, or not run again. */
    public data object Cancelled : JobEnding

    /** The entry [holder] ended while it held the job. The job may have run and is never run again automatically. */
    public data class OutcomeUnknown(public val holder: EntryIdentity) : JobEnding
}

/**
 * The answer of the endpoint that ran a job.
 *
 * @property body Base64 text of the answer's body, at most [MAX_BODY_BYTES] bytes when decoded
 * @property truncated whether the answer was longer than [body]
 */
public data class JobResult(
    public val body: String,
    public val contentType: String,
    public val truncated: Boolean,
) {
    public companion object {
        /**
         * Largest size of a decoded body, in bytes. The bodies of [JobLedger.MAX_ENDED] ended jobs then take at most
         * 11 MiB as Base64 text.
         */
        public const val MAX_BODY_BYTES: Int = 4 * 1024
    }
}
