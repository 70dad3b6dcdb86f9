package dogwoodgrade.node

import dogwoodgrade.ownership.Candidate
import dogwoodgrade.ownership.ClockReading
import dogwoodgrade.ownership.OwnershipPolicy
import dogwoodgrade.ownership.OwnershipView
import dogwoodgrade.ownership.followsProgress
import dogwoodgrade.platform.ReadOutcome
import dogwoodgrade.platform.Topic
import dogwoodgrade.platform.readOperatorRecord
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Pause between two reads of a topic, in which records accumulate. */
private val FOLLOWER_READ_PAUSE: Duration = 200.milliseconds

/**
 * Pause between two reads of a topic whose news can wait, as every read is a call that the store charges for. Callers
 * who ask for the state of a job do not wait for it. Shorter than the silence after which the store counts as lost.
 */
private val UNURGENT_READ_PAUSE: Duration = 800.milliseconds

/** Longest wait of a caller for a read of the newest records; what is known is shown then. */
private val LONGEST_READ_WAIT: Duration = 300.milliseconds

/** Longest wait of a caller for a read of the newest jobs. */
private val LONGEST_JOB_READ_WAIT: Duration = 1.seconds

/** Age up to which knowledge is used for a count without another read, each of which the store charges for. */
private val FRESH_AGE: Duration = 1.seconds

/** Pause of the owner between two reads of the jobs topic. */
private val OWNER_READ_PAUSE: Duration = 10.milliseconds

/**
 * Age of what this process knows; `null` if a topic has never been read to its end.
 *
 * @property configuration age of what operators have published
 * @property jobs age of the accepted jobs and cancellations
 * @property states age of the jobs' states
 */
internal data class TableAges(
    val configuration: Duration?,
    val jobs: Duration?,
    val states: Duration?,
) {
    /** Tells whether jobs and states are known and at most [limit] old. */
    fun isWithin(limit: Duration): Boolean = isWithin(jobs, limit) && isWithin(states, limit)

    override fun toString(): String = "jobs_age=$jobs states_age=$states"
}

/** Tells whether [age] is known and at most [limit]. */
internal fun isWithin(age: Duration?, limit: Duration): Boolean = age != null && age <= limit

/**
 * Follows the topics of the log and applies their records to the tables of [components].
 *
 * @param isOwner tells whether this process owns the fleet
 * @param mayOwn tells whether this process owns the fleet or a claim of it has no answer yet
 * @param onHandoverRequest called after a request for a handover has been read
 */
internal class LogFollowers(
    private val components: NodeComponents,
    private val candidate: Candidate,
    private val policy: OwnershipPolicy,
    private val scope: CoroutineScope,
    private val isOwner: () -> Boolean,
    private val mayOwn: () -> Boolean,
    private val onHandoverRequest: () -> Unit,
) {
    private val clock = components.clock

    private val configurationFollower = follower(Topic.Operator, { FOLLOWER_READ_PAUSE }) { applyOperatorRecords(it) }

    /** Follows the jobs; `null` while this instance follows the summary only. */
    @Volatile
    private var jobFollower: TopicFollower? = null

    private val jobRead = SharedRead(scope) { readJobsOnce() }
    private val configurationRead = SharedRead(scope) { configurationFollower.hasNewest() }

    @Volatile
    private var stateFollower: TopicFollower? = null

    /** Starts the coroutines that follow the log. */
    fun start() {
        scope.launch { configurationFollower.run() }
        scope.launch { followJobs() }
    }

    /** Reads the jobs without a pause, for a process that has just become the owner. */
    fun readJobsNow() {
        jobFollower?.endPause()
    }

    private fun follower(topic: Topic, pause: () -> Duration, apply: suspend (FollowedRecords) -> Unit) =
        TopicFollower(components.store, topic, clock, pause, components.storeAvailability, apply)

    /** Follows jobs and progress, or only the summary of both as long as this instance is weaker than the owner. */
    private suspend fun followJobs() {
        // An owner that has never written to the summary runs an earlier version of this program.
        var epochWithoutSummary: Long? = null
        while (true) {
            val view = components.ownership.summary()
            val whole =
                followsProgress(view, candidate, policy) || lacksSummary(view, epochWithoutSummary)
            logger.info { "node: follows jobs whole=$whole owner=${view?.record}" }
            if (whole) {
                followRecords { lacksSummary(it, epochWithoutSummary) }
                components.ownership.stopFollowing()
            } else {
                followSummary()
                val owner = components.ownership.summary()?.record
                epochWithoutSummary = owner?.epoch?.takeIf { !components.ownership.hasSummaryOf(it) }
            }
        }
    }

    private fun lacksSummary(view: OwnershipView?, epochWithoutSummary: Long?): Boolean =
        epochWithoutSummary != null && view?.record?.epoch == epochWithoutSummary

    /** Follows jobs and progress until a stronger owner publishes their summary. */
    private suspend fun followRecords(lacksSummary: (OwnershipView?) -> Boolean) {
        components.jobs.followRecords()
        val states = follower(Topic.Progress, { FOLLOWER_READ_PAUSE }) { applyProgressRecords(it) }
        val jobs =
            follower(Topic.Jobs, { if (isOwner()) OWNER_READ_PAUSE else UNURGENT_READ_PAUSE }) { applyJobRecords(it) }
        stateFollower = states
        jobFollower = jobs
        follow(states, jobs) { view ->
            // A term that begins with a table of the summary would have no jobs.
            mayOwn() || followsProgress(view, candidate, policy) || lacksSummary(view)
        }
        jobFollower = null
    }

    /** Follows the summary until this instance is not weaker than the owner, or the owner is silent. */
    private suspend fun followSummary() {
        components.jobs.followSummary()
        val states = follower(Topic.States, { UNURGENT_READ_PAUSE }) { applyStateRecords(it) }
        stateFollower = states
        follow(states) { !followsProgress(it, candidate, policy) }
    }

    /**
     * Runs [followers] as long as [keepFollowing] accepts what is known of the owner. The first of them reads the topic
     * that the owner writes to.
     */
    private suspend fun follow(vararg followers: TopicFollower, keepFollowing: (OwnershipView?) -> Boolean) =
        coroutineScope {
            val reading = followers.map { launch { it.run() } }
            do {
                followers.first().awaitRead(FOLLOWER_READ_PAUSE)
            } while (keepFollowing(components.ownership.summary()))
            reading.forEach { it.cancel() }
        }

    private fun applyStateRecords(followed: FollowedRecords) {
        components.jobs.applySummary(followed)
        components.ownership.applySummary(followed, clock.now())
    }

    private fun applyOperatorRecords(followed: FollowedRecords) {
        val records = followed.records.mapNotNull { readOperatorRecord(it) }
        components.configuration.apply(records, followed.snapshot, clock.now())
    }

    private fun applyJobRecords(followed: FollowedRecords) {
        followed.records.forEach { components.jobs.applyJob(it) }
        val identifiers =
            followed.records.mapNotNullTo(mutableSetOf()) {
                FleetRecords.jobOf(it.key) ?: FleetRecords.cancelledJobOf(it.key)
            }
        if (followed.snapshot) {
            val present = followed.records.mapNotNullTo(mutableSetOf()) { FleetRecords.jobOf(it.key) }
            val cancelled = followed.records.mapNotNullTo(mutableSetOf()) { FleetRecords.cancelledJobOf(it.key) }
            identifiers += components.jobs.dropAbsentJobs(present, followed.nextOffset, cancelled)
        }
        components.jobs.recordPosition(followed.nextOffset, followed.reachedEnd)
        if (followed.records.isNotEmpty() || identifiers.isNotEmpty()) {
            components.onJobRecords?.invoke(identifiers, followed.nextOffset)
        }
        val requests = followed.records.filter { it.key == FleetRecords.HANDOVER_KEY }
        requests.mapNotNull { it.value?.let(FleetRecords::decodeHandover) }.forEach(components.ownership::applyHandover)
        if (requests.isNotEmpty()) onHandoverRequest()
    }

    private fun applyProgressRecords(followed: FollowedRecords) {
        followed.records.forEach { components.jobs.applyProgress(it) }
        followed.records.forEach { components.maintained.apply(it) }
        followed.records.forEach { components.executors.apply(it) }
        components.ownership.applyRecords(followed, clock.now())
    }

    /** Returns how old the knowledge of configuration, jobs and states is at the time [now]. */
    fun ages(now: ClockReading): TableAges {
        // The owner applies its own appends; a confirmed one proves that no other owner has appended.
        val statesAsOf = listOfNotNull(stateFollower?.currentAsOf, components.ownership.confirmedAt())
        val jobsAsOf = listOfNotNull(jobFollower?.currentAsOf, components.jobs.newJobsAsOf())
        return TableAges(
            configurationFollower.currentAsOf?.let(now::elapsedSince),
            jobsAsOf.minOfOrNull(now::elapsedSince),
            statesAsOf.minOfOrNull(now::elapsedSince),
        )
    }

    /** Reads what is older than [FRESH_AGE], and returns the ages after that. */
    suspend fun refresh(): TableAges {
        // The new jobs are read from a position that a table lacks while it is not complete.
        if (!components.jobs.isComplete()) readNewStates()
        val before = ages(clock.reading())
        coroutineScope {
            if (!isWithin(before.jobs, FRESH_AGE)) launch { readNewJobs() }
            if (!isWithin(before.states, FRESH_AGE)) launch { readNewStates() }
        }
        return ages(clock.reading())
    }

    /**
     * Adds the records that the log has beyond the job table. Callers share a read, since all of them ask for a job
     * that is missing because this process is behind.
     *
     * Before the table has been complete, the read would begin with the first record of the log and be repeated by each
     * caller, which a narrow link does not carry.
     *
     * @return whether a read that was sent after this call has reached the end of the topic
     */
    suspend fun readNewJobs(): Boolean {
        if (components.jobs.readPosition() == null) return false
        return withTimeoutOrNull(LONGEST_JOB_READ_WAIT) { jobRead.join().await() } ?: false
    }

    private suspend fun readJobsOnce(): Boolean {
        val position = components.jobs.readPosition() ?: return false
        val sentAt = clock.reading()
        val outcome = components.store.read(Topic.Jobs, position.offset, Duration.ZERO)
        if (outcome !is ReadOutcome.Records || outcome.isOutdated(position.offset)) return false
        val reachedEnd = outcome.nextOffset >= outcome.endOffset
        val asOf = sentAt.takeIf { reachedEnd }
        return components.jobs.applyNewJobs(position, outcome.records, outcome.nextOffset, asOf) && reachedEnd
    }

    /** Asks the store whether the newest configuration is known. Its follower may wait for one for seconds. */
    suspend fun hasNewestConfiguration(): Boolean =
        withTimeoutOrNull(LONGEST_READ_WAIT) { configurationRead.join().await() } ?: false

    /** Adds the progress, or its summary, that the log has beyond the job table. */
    suspend fun readNewStates() {
        // The owner applies its own appends.
        if (!isOwner()) stateFollower?.catchUp(LONGEST_READ_WAIT)
    }
}
