package dogwoodgrade.routing

/** What an attempt proves about the execution of the request on its endpoint. */
public enum class RunEvidence {
    /** The endpoint has not started the request and will not. */
    NotRun,

    /** The endpoint may have started the request. */
    Unknown,

    /** The endpoint has answered the request completely. */
    Ran,
}

/** How one attempt at an endpoint ended, as the entry observed it. */
public sealed interface AttemptResult {
    /** What the attempt proves about the execution of the request. */
    public val evidence: RunEvidence

    /** A complete response with any [status] arrived. */
    public data class Complete(public val status: Int) : AttemptResult {
        override val evidence: RunEvidence get() = RunEvidence.Ran
    }

    /** The connection was refused, so no byte was sent. */
    public data object ConnectionRefused : AttemptResult {
        override val evidence: RunEvidence get() = RunEvidence.NotRun
    }

    /** The connection was not established in time, so no byte was sent. */
    public data object ConnectTimedOut : AttemptResult {
        override val evidence: RunEvidence get() = RunEvidence.NotRun
    }

    /** The entry ended the attempt before it sent a byte, for example because the caller disconnected. */
    public data object NotSent : AttemptResult {
        override val evidence: RunEvidence get() = RunEvidence.NotRun
    }

    /** The endpoint answered `Dogwoodgrade-Executed: no` because all its slots are taken. */
    public data object Busy : AttemptResult {
        override val evidence: RunEvidence get() = RunEvidence.NotRun
    }

    /** The endpoint answered `Dogwoodgrade-Executed: no` for another reason, for example because it is leaving. */
    public data object NotRun : AttemptResult {
        override val evidence: RunEvidence get() = RunEvidence.NotRun
    }

    /** The connection failed after a byte of the request was sent and before the response head. */
    public data object FailedBeforeHead : AttemptResult {
        override val evidence: RunEvidence get() = RunEvidence.Unknown
    }

    /** The response ended after its head and before its end. */
    public data object Truncated : AttemptResult {
        override val evidence: RunEvidence get() = RunEvidence.Unknown
    }

    /** A byte of the request was sent, and the deadline or the task lease passed before the response was complete. */
    public data object TimedOut : AttemptResult {
        override val evidence: RunEvidence get() = RunEvidence.Unknown
    }
}

/** First HTTP status that counts as a failure of the endpoint. */
private const val FIRST_SERVER_ERROR = 500

/** Whether the attempt failed after the endpoint may have started the request. */
internal val AttemptResult.isFailure: Boolean
    get() = evidence == RunEvidence.Unknown || (this is AttemptResult.Complete && status >= FIRST_SERVER_ERROR)
