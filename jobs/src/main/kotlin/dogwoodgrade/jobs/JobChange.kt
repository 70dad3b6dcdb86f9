package dogwoodgrade.jobs

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.TeamName

/** A record that concerns jobs. It takes effect only if it is valid in the ledger at its offset. */
public sealed interface JobChange {
    /** Adds a job. */
    public data class Accept(public val request: JobRequest) : JobChange

    /** Claims a job for [holder]; the first valid claim wins. */
    public data class Claim(public val job: JobRequestIdentifier, public val holder: EntryIdentity) : JobChange

    /** Stores a [checkpoint], as Base64 text, for a later run of the job. */
    public data class Checkpoint(
        public val job: JobRequestIdentifier,
        public val holder: EntryIdentity,
        public val checkpoint: String,
    ) : JobChange

    /** Ends a job with the answer of an endpoint. */
    public data class Finish(
        public val job: JobRequestIdentifier,
        public val holder: EntryIdentity,
        public val status: Int,
        public val result: JobResult,
    ) : JobChange

    /**
     * Cancels a waiting job of [team]. For a claimed job, the change is refused unless [requestStop] is set: then the
     * holder is requested to stop the job, and an idempotent job is not claimed again when the holder ends.
     */
    public data class Cancel(
        public val job: JobRequestIdentifier,
        public val team: TeamName,
        public val requestStop: Boolean,
    ) : JobChange

    /** Releases the claims of an entry that has ended or left. */
    public data class EndEntry(public val entry: EntryIdentity) : JobChange
}
