package dogwoodgrade.node

import dogwoodgrade.ownership.Candidate
import dogwoodgrade.ownership.CandidateDecision
import dogwoodgrade.ownership.ClockReading
import dogwoodgrade.ownership.HandoverRequest
import dogwoodgrade.ownership.Lease
import dogwoodgrade.ownership.OwnershipPolicy
import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.ownership.OwnershipView
import dogwoodgrade.ownership.asksForHandover
import dogwoodgrade.ownership.decideClaim
import dogwoodgrade.ownership.grantsSettledAt
import dogwoodgrade.platform.AdviceClient
import dogwoodgrade.platform.AppendOutcome
import dogwoodgrade.platform.CallerServer
import dogwoodgrade.platform.LogStore
import dogwoodgrade.platform.MachinesClient
import dogwoodgrade.platform.NodeSettings
import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.StoreClient
import dogwoodgrade.platform.Topic
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.SchedulingPolicy
import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/** Time without a response from the store after which this process reports that it is not ready. */
private val STORE_SILENCE_LIMIT: Duration = 1200.milliseconds

/** Pause between two checks whether to claim ownership, and between two checks for unanswered requests at a stop. */
private val OWNERSHIP_CHECK_PAUSE: Duration = 50.milliseconds

/** Time limit for the append of a request for a handover. */
private val HANDOVER_REQUEST_TIME_LIMIT: Duration = 1.seconds

/** Time after a stop request in which new connections still arrive. */
private val STOP_NOTICE_TIME: Duration = 2500.milliseconds

/** Part of the grace period that is reserved for the process to exit. */
private val STOP_MARGIN: Duration = 1.seconds

/** Upper bound of the random sequence number of a claim; the appends of the term continue from that number. */
private const val LARGEST_CLAIM_SEQUENCE = 1L shl 40

/**
 * Clients, tables and services that the components of the node process share.
 *
 * Each table states its number in the lock order of the node process. A thread that holds the lock of a table takes
 * only locks of tables with higher numbers.
 */
internal class NodeComponents(
    val vertx: Vertx,
    val store: LogStore,
    val machines: MachinesClient?,
    val advice: AdviceClient?,
    val configuration: ConfigurationTable,
    val jobs: JobTable,
    val ownership: OwnershipTable,
    val maintained: MaintainedMachines,
    val executors: KnownExecutors,
    val storeAvailability: StoreAvailability,
    val clock: NodeClock,
    val metrics: NodeMetrics,
    val intake: JobIntake,
    val scheduling: SchedulingPolicy,
) {
    /**
     * Called while this process owns the fleet with the jobs of newly read records, and the offset in the jobs topic up
     * to which all records have been read.
     */
    @Volatile
    var onJobRecords: ((Set<JobIdentifier>, Long) -> Unit)? = null
}

/** The process on one machine: serves callers, and claims and schedules the fleet. [LogFollowers] follow the log. */
internal class Node(
    private val settings: NodeSettings,
    vertx: Vertx,
    private val scope: CoroutineScope,
    scheduling: SchedulingPolicy = SchedulingPolicy(),
) {
    private val clock = NodeClock()
    private val policy = OwnershipPolicy(maximumGrantDuration = settings.longestGrant)
    private val incarnation = clock.wallTime().toEpochMilliseconds().toString(36)
    private val candidate = Candidate(settings.entry, incarnation, settings.processorCores)
    private val store = StoreClient(vertx, settings.store, settings.storeLimits)
    private val storeAvailability = StoreAvailability(STORE_SILENCE_LIMIT)
    private val intake = JobIntake(store, "entry-${settings.entry}-$incarnation", clock, storeAvailability)
    private val components =
        NodeComponents(
            vertx,
            store,
            settings.machines?.let { MachinesClient(vertx, it, settings.entry) },
            settings.advice?.let { AdviceClient(vertx, it) },
            ConfigurationTable(),
            JobTable(),
            OwnershipTable(policy),
            MaintainedMachines(),
            KnownExecutors(),
            storeAvailability,
            clock,
            NodeMetrics(),
            intake,
            scheduling,
        )
    private val handler =
        CallerHandler(
            components.configuration,
            components.jobs,
            intake,
            clock,
            components.metrics,
            { followers.readNewJobs() },
            { followers.readNewStates() },
            { followers.refresh() },
            { followers.ages(it) },
            { followers.hasNewestConfiguration() },
        )
    private val followers: LogFollowers =
        LogFollowers(components, candidate, policy, scope, { session != null }, { claiming }) {
            session?.resignIfAsked()
        }
    private val server = CallerServer(vertx, scope, handler::handle, ::ready, components.metrics::text)

    @Volatile
    private var stopping = false

    /** Whether a claim is under way, or has begun a term that has not ended. */
    @Volatile
    private var claiming = false

    @Volatile
    private var session: OwnerSession? = null

    private fun ready(): Boolean =
        !stopping &&
            components.configuration.current() != null &&
            components.storeAvailability.isAvailable(clock.now()) &&
            components.jobs.isComplete()

    /** Starts the servers and the coroutines that follow the log. */
    suspend fun start() {
        server.listen(settings.callers, settings.readiness)
        followers.start()
        scope.launch { intake.run() }
        scope.launch { claimWhenDue() }
        logger.info {
            "node: started entry=${settings.entry} incarnation=$incarnation zone=${settings.zone} " +
                "callers=${settings.callers} store=${settings.store}"
        }
    }

    private suspend fun claimWhenDue() {
        var ableSince: Instant? = null
        while (!stopping) {
            val view = components.ownership.view()
            val complete = components.jobs.isComplete() && components.configuration.current() != null
            // All instances become able to claim when the first configuration arrives. Counted from an earlier time,
            // the delays that let the strongest one be first would have passed.
            if (complete && ableSince == null) ableSince = clock.now()
            val able = ableSince
            val decision =
                if (view == null || able == null || !complete) {
                    null
                } else {
                    decideClaim(view.copy(recordSince = maxOf(view.recordSince, able)), candidate, policy, clock.now())
                }
            if (decision is CandidateDecision.Claim) {
                claiming = true
                claim(decision)
                claiming = false
            }
            if (decision == CandidateDecision.Follow && view != null) askForHandover(view)
            delay(OWNERSHIP_CHECK_PAUSE)
        }
    }

    /** Asks a much weaker owner to resign, unless another instance has asked it before. */
    private suspend fun askForHandover(view: OwnershipView) {
        val epoch = view.record?.epoch ?: return
        if (!asksForHandover(view, candidate, policy, clock.now())) return
        if (components.ownership.handoverOf(epoch) != null) return
        val request = HandoverRequest(epoch, candidate.name)
        val value = FleetRecords.encode(request)
        val outcome = intake.append(FleetRecords.HANDOVER_KEY, value, HANDOVER_REQUEST_TIME_LIMIT)
        logger.info { "owner: handover asked epoch=$epoch owner=${view.record?.owner} outcome=$outcome" }
        if (outcome != IntakeOutcome.NotDone) components.ownership.applyHandover(request)
    }

    private suspend fun claim(decision: CandidateDecision.Claim) {
        val record =
            OwnershipRecord(decision.epoch, settings.entry, incarnation, resigned = false, settings.processorCores)
        // Candidates share the producer and may claim the same epoch. With equal sequence numbers, the store would take
        // the second claim for a repetition of the first and confirm both.
        val sequence = Random.nextLong(1, LARGEST_CLAIM_SEQUENCE)
        val sentAt = clock.reading()
        val outcome =
            components.store.append(
                Topic.Progress,
                listOf(FleetRecords.OWNER_KEY to FleetRecords.encode(record)),
                Producer(OWNER_PRODUCER, decision.epoch, sequence),
                components.ownership.readTo(),
            )
        logger.info { "owner: claim epoch=${decision.epoch} reason=${decision.reason} outcome=$outcome" }
        if (outcome is AppendOutcome.Appended) runSession(record, sentAt, sequence)
    }

    private suspend fun runSession(record: OwnershipRecord, claimedAt: ClockReading, sequence: Long) {
        val first = record.epoch == 1L
        val settledAt = if (first) claimedAt.monotonic else grantsSettledAt(clock.now(), policy)
        val term = OwnerSession(components, settings, record, policy, settledAt, sequence)
        components.ownership.updateLease(Lease(record.epoch, claimedAt))
        session = term
        followers.readJobsNow()
        components.metrics.owning(record.epoch)
        val reason = term.run()
        session = null
        components.onJobRecords = null
        components.ownership.clearLease()
        components.metrics.owning(0)
        logger.info { "owner: term ended epoch=${record.epoch} reason=$reason" }
    }

    /** Returns the epoch of the term in which this process owns the fleet, or 0 if it does not. */
    fun ownedEpoch(): Long = session?.epoch ?: 0

    /** Returns whether this process follows the whole progress of the owner instead of its summary. */
    fun readsWholeProgress(): Boolean = components.ownership.view() != null

    /** Stops gracefully: resigns ownership, answers open requests, and returns within the grace period. */
    suspend fun stop() {
        logger.info { "node: stopping unanswered=${server.activeRequestCount()} owner=${session != null}" }
        stopping = true
        server.beginStop()
        session?.resign()
        val startedAt = clock.now()
        delay(STOP_NOTICE_TIME)
        while (server.activeRequestCount() > 0 &&
            clock.now() - startedAt < settings.stopGrace - STOP_MARGIN
        ) {
            delay(OWNERSHIP_CHECK_PAUSE)
        }
        server.close()
        logger.info { "node: stopped unanswered=${server.activeRequestCount()}" }
    }
}
