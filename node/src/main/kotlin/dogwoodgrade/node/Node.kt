package dogwoodgrade.node

import dogwoodgrade.ownership.Candidate
import dogwoodgrade.ownership.CandidateDecision
import dogwoodgrade.ownership.Lease
import dogwoodgrade.ownership.OwnershipPolicy
import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.ownership.decideClaim
import dogwoodgrade.ownership.grantsSettledAt
import dogwoodgrade.platform.AdviceClient
import dogwoodgrade.platform.AppendOutcome
import dogwoodgrade.platform.CallerServer
import dogwoodgrade.platform.MachinesClient
import dogwoodgrade.platform.NodeSettings
import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.ReadOutcome
import dogwoodgrade.platform.StoreClient
import dogwoodgrade.platform.Topic
import dogwoodgrade.platform.readOperatorRecord
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

/** Time without an answer of the store after which this process reports itself not ready. */
private val storeLostAfter: Duration = 1200.milliseconds

/** Pause of followers between two reads, in which records gather. */
private val followerPause: Duration = 200.milliseconds

/** Pause of the owner between two reads of the jobs' topic. */
private val ownerPause: Duration = 10.milliseconds

/** Pause between two looks at the ownership while nothing happens. */
private val candidatePause: Duration = 50.milliseconds

/** Time after the request to stop during which new connections still arrive. */
private val stopNotice: Duration = 2500.milliseconds

/** Part of the grace period that is left for the process to end. */
private val stopMargin: Duration = 1.seconds

/** Bound of the random sequence numbers of claims; the appends of a term count up from there. */
private const val LARGEST_CLAIM_SEQUENCE = 1L shl 40

/** What the parts of the program share. The tables are listed in the lock order. */
internal class NodeParts(
    val vertx: Vertx,
    val store: StoreClient,
    val machines: MachinesClient?,
    val advice: AdviceClient?,
    val configuration: ConfigurationTable,
    val jobs: JobTable,
    val ownership: OwnershipTable,
    val maintained: MaintainedMachines,
    val executors: KnownExecutors,
    val contact: StoreContact,
    val clock: NodeClock,
    val metrics: NodeMetrics,
    val intake: JobIntake,
    val scheduling: SchedulingPolicy,
) {
    /** Receives the jobs of new records while this process owns the fleet. */
    @Volatile
    var onJobRecords: ((Set<JobIdentifier>) -> Unit)? = null
}

/** The program on one machine: serves callers, follows the log, and owns the fleet if it is its turn. */
internal class Node(
    private val settings: NodeSettings,
    vertx: Vertx,
    private val scope: CoroutineScope,
    scheduling: SchedulingPolicy = SchedulingPolicy(),
) {
    private val clock = NodeClock()
    private val policy = OwnershipPolicy(grantsFor = settings.longestGrant)
    private val incarnation = clock.wall().toEpochMilliseconds().toString(36)
    private val candidate = Candidate(settings.entry, incarnation)
    private val store = StoreClient(vertx, settings.store)
    private val contact = StoreContact(storeLostAfter)
    private val intake = JobIntake(store, "entry-${settings.entry}-$incarnation", clock, contact)
    private val parts =
        NodeParts(
            vertx,
            store,
            settings.machines?.let { MachinesClient(vertx, it, settings.entry) },
            settings.advice?.let { AdviceClient(vertx, it) },
            ConfigurationTable(),
            JobTable(),
            OwnershipTable(policy),
            MaintainedMachines(),
            KnownExecutors(),
            contact,
            clock,
            NodeMetrics(),
            intake,
            scheduling,
        )
    private val handler = CallerHandler(parts.configuration, parts.jobs, intake, clock, parts.metrics, ::readNewJobs)
    private val server = CallerServer(vertx, scope, handler::handle, ::ready, parts.metrics::text)

    @Volatile
    private var stopping = false

    @Volatile
    private var session: OwnerSession? = null

    private fun ready(): Boolean =
        !stopping &&
            parts.configuration.current() != null &&
            parts.contact.alive(clock.now()) &&
            parts.jobs.everComplete()

    /** Starts to listen and to follow the log. */
    suspend fun start() {
        server.listen(settings.callers, settings.readiness)
        scope.launch { follow(Topic.Operator, { followerPause }) { operatorRead(it) } }
        scope.launch { follow(Topic.Jobs, { if (session == null) followerPause else ownerPause }) { jobsRead(it) } }
        scope.launch { follow(Topic.Progress, { followerPause }) { progressRead(it) } }
        scope.launch { intake.run() }
        scope.launch { ownInTurn() }
        logger.info {
            "node: started entry=${settings.entry} incarnation=$incarnation zone=${settings.zone} " +
                "callers=${settings.callers} store=${settings.store}"
        }
    }

    private suspend fun follow(topic: Topic, pause: () -> Duration, apply: suspend (FollowedRecords) -> Unit) =
        TopicFollower(parts.store, topic, clock, pause, parts.contact, apply).run()

    private fun operatorRead(followed: FollowedRecords) {
        val records = followed.records.mapNotNull { readOperatorRecord(it) }
        parts.configuration.apply(records, followed.snapshot, clock.now())
    }

    private fun jobsRead(followed: FollowedRecords) {
        followed.records.forEach { parts.jobs.applyJob(it) }
        parts.jobs.read(followed.nextOffset, followed.reachedEnd)
        val identifiers =
            followed.records.mapNotNullTo(mutableSetOf()) {
                FleetRecords.jobOf(it.key) ?: FleetRecords.cancelledJobOf(it.key)
            }
        if (identifiers.isNotEmpty()) parts.onJobRecords?.invoke(identifiers)
    }

    private fun progressRead(followed: FollowedRecords) {
        followed.records.forEach { parts.jobs.applyProgress(it) }
        followed.records.forEach { parts.maintained.apply(it) }
        followed.records.forEach { parts.executors.apply(it) }
        parts.ownership.read(followed, clock.now())
    }

    private suspend fun readNewJobs(): Boolean {
        val outcome = parts.store.read(Topic.Jobs, parts.jobs.readTo(), Duration.ZERO)
        if (outcome !is ReadOutcome.Records) return false
        outcome.records.forEach { parts.jobs.applyJob(it) }
        return outcome.nextOffset >= outcome.endOffset
    }

    private suspend fun ownInTurn() {
        while (!stopping) {
            val view = parts.ownership.view()
            val complete = parts.jobs.everComplete() && parts.configuration.current() != null
            val decision = if (view == null || !complete) null else decideClaim(view, candidate, policy, clock.now())
            if (decision is CandidateDecision.Claim) claim(decision)
            delay(candidatePause)
        }
    }

    private suspend fun claim(decision: CandidateDecision.Claim) {
        val record = OwnershipRecord(decision.epoch, settings.entry, incarnation, resigned = false)
        // Candidates share the producer and may claim the same epoch: equal numbers would pass as a repeated append.
        val sequence = Random.nextLong(1, LARGEST_CLAIM_SEQUENCE)
        val sentAt = clock.now()
        val outcome =
            parts.store.append(
                Topic.Progress,
                listOf(FleetRecords.OWNER_KEY to FleetRecords.encode(record)),
                Producer(OWNER_PRODUCER, decision.epoch, sequence),
                parts.ownership.readTo(),
            )
        logger.info { "owner: claim epoch=${decision.epoch} reason=${decision.reason} outcome=$outcome" }
        if (outcome is AppendOutcome.Appended) own(record, sentAt, sequence)
    }

    private suspend fun own(record: OwnershipRecord, claimedAt: Instant, sequence: Long) {
        val first = record.epoch == 1L
        val settledAt = if (first) claimedAt else grantsSettledAt(clock.now(), policy)
        val term = OwnerSession(parts, settings, record, policy, settledAt, sequence)
        parts.ownership.own(Lease(record.epoch, claimedAt))
        session = term
        parts.metrics.owning(record.epoch)
        val reason = term.run()
        session = null
        parts.onJobRecords = null
        parts.ownership.disown()
        parts.metrics.owning(0)
        logger.info { "owner: term ended epoch=${record.epoch} reason=$reason" }
    }

    /** Stops gracefully: gives the fleet away, serves open connections, and ends within the grace period. */
    suspend fun stop() {
        logger.info { "node: stopping unanswered=${server.unanswered()} owner=${session != null}" }
        stopping = true
        server.beginStop()
        session?.resign()
        val startedAt = clock.now()
        delay(stopNotice)
        while (server.unanswered() > 0 &&
            clock.now() - startedAt < settings.stopGrace - stopMargin
        ) {
            delay(candidatePause)
        }
        server.close()
        logger.info { "node: stopped unanswered=${server.unanswered()}" }
    }
}
