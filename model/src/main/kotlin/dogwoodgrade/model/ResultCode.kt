package dogwoodgrade.model

/**
 * Numbered result of a request, a proposed change or a program. `docs/result-codes.md` documents every code; a test
 * compares it with this enum.
 *
 * Codes 1xxx are about requests of callers, 2xxx about proposed changes of the configuration, 3xxx about external
 * systems, 4xxx about settings and command lines, and 5xxx about jobs.
 */
public enum class ResultCode(
    /** The number that callers, scripts and documents use. */
    public val number: Int,
    /** HTTP status of a refusal with this code, or 0 if the code is never sent to a caller. */
    public val httpStatus: Int,
    /** Exit status of a command line program that ends with this code. */
    public val exitStatus: Int,
) {
    Accepted(1000, 200, 0),
    MissingKey(1001, 401, 1),
    UnknownKey(1002, 401, 1),
    UnknownService(1003, 404, 1),
    BodyTooLarge(1004, 413, 1),
    MalformedRequest(1005, 400, 1),
    QueueFull(1006, 429, 1),
    DeadlineTooShort(1007, 504, 1),
    NoEndpoint(1008, 503, 1),
    Starting(1009, 503, 1),
    Stopping(1010, 503, 1),
    OutcomeUnknown(1011, 504, 1),
    PoisonousRequest(1012, 422, 1),
    RefusedWhenStale(1013, 503, 1),
    UpperLimitReached(1014, 429, 1),
    RetryBudgetExhausted(1015, 503, 1),
    Cancelled(1016, 499, 1),
    AnswerBroken(1017, 502, 1),
    Overloaded(1018, 503, 1),

    VersionConflict(2001, 409, 10),
    UnknownTeam(2002, 404, 11),
    UnknownPool(2003, 404, 12),
    UnknownInstance(2004, 404, 13),
    UnknownZone(2005, 404, 14),
    KeyTaken(2006, 409, 15),
    InstanceInOtherPool(2007, 409, 16),
    BudgetExceeded(2008, 409, 17),
    MalformedRecord(2009, 400, 18),
    UnsupportedSchemaVersion(2010, 400, 19),
    DuplicateRecord(2011, 200, 0),
    InvalidValue(2012, 400, 20),
    UnknownEntry(2013, 404, 21),
    StaleIncarnation(2014, 409, 22),
    WrongSequence(2015, 409, 23),
    NotQuarantined(2016, 409, 24),
    AlreadyExists(2017, 409, 25),
    StateUnchanged(2018, 409, 26),
    EntryEnded(2019, 409, 27),
    NotConfirmed(2020, 0, 28),
    MaintenanceHalted(2021, 0, 29),

    LogUnreachable(3001, 503, 30),
    LogAnswerLost(3002, 503, 31),
    LogRateLimited(3003, 503, 32),
    RecordsDropped(3004, 503, 33),
    PeerUnreachable(3005, 503, 34),
    LiveListUnreachable(3006, 503, 35),

    InvalidSettings(4001, 0, 40),
    UsageError(4002, 0, 41),
    AddressInUse(4003, 0, 42),

    UnknownJob(5001, 404, 50),
    JobAlreadyClaimed(5002, 409, 51),
    JobAlreadyFinished(5003, 409, 52),
    JobOutcomeUnknown(5004, 200, 53),
    JobTooLarge(5005, 413, 54),
    NotClaimHolder(5006, 409, 55),
    JobCancelled(5007, 409, 56),
    TooManyJobs(5008, 429, 57),
    ;

    /** Returns `number name`, the form that is used in logs and messages. */
    override fun toString(): String = "$number $name"

    public companion object {
        private val byNumber = entries.associateBy(ResultCode::number)

        /** Returns the code with [number], or `null` if there is none. */
        public fun ofNumberOrNull(number: Int): ResultCode? = byNumber[number]
    }
}
