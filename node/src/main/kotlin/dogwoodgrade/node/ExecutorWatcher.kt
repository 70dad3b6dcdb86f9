package dogwoodgrade.node

import dogwoodgrade.platform.ExecutorClient
import dogwoodgrade.platform.ListingOutcome
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.GrantRequest
import dogwoodgrade.scheduling.ListingRequest
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Time for which an executor waits for a run to end before it answers; the platform charges for each answer as for a
 * probe.
 */
private val LISTING_WAIT: Duration = 700.milliseconds

/** Time for which an executor waits while starts have to be ruled out that an earlier incarnation did not answer. */
private val LISTING_WAIT_FOR_STOPS: Duration = 100.milliseconds

/** Longest pause between two listings of an executor on which nothing runs. */
private val IDLE_LISTING_PAUSE: Duration = 4.seconds

/** Longest wait for ended runs to become durable before the next listing. */
private val LONGEST_DURABILITY_WAIT: Duration = 250.milliseconds

/** Pause before the next listing of an executor that gave no answer, or without a valid lease. */
private val LISTING_RETRY_PAUSE: Duration = 200.milliseconds

/**
 * Watches one executor while this process owns the fleet: extends its grant and lists its running and ended runs.
 *
 * @param grant duration of a grant
 * @param onChange called after the schedule has changed
 * @param onFenced called if the executor takes orders from a newer owner
 */
internal class ExecutorWatcher(
    private val identifier: ExecutorIdentifier,
    private val client: ExecutorClient,
    private val fleet: FleetTable,
    private val ownership: OwnershipTable,
    private val epoch: Long,
    private val grant: Duration,
    private val clock: NodeClock,
    private val onChange: () -> Unit,
    private val onFenced: () -> Unit,
) {
    private val wakeSignal = Channel<Unit>(Channel.CONFLATED)

    /** Whether the last listing request did not extend the grant. */
    private var listedWithoutGrant = false

    /** Ends a pause, for example because a run starts or ended runs have become durable. */
    fun wake() {
        wakeSignal.trySend(Unit)
    }

    /** Watches until the scheduler no longer knows the executor. */
    suspend fun run() {
        while (true) {
            val reading = clock.reading()
            val sentAt = reading.monotonic
            val request =
                fleet.withSchedule { it.grantRequest(identifier, grant, ownership.grantsUntil(reading), sentAt) }
                    ?: return
            fleet.withSchedule { it.recordRequest(identifier, sentAt) }
            val wait = waitOf(request)
            val outcome = client.list(request.report, wait, epoch) { request.contentFor(it, wait) }
            val now = clock.now()
            when (outcome) {
                is ListingOutcome.Listed -> {
                    fleet.withSchedule { it.processListing(identifier, outcome.listing, sentAt, now, outcome.sent) }
                    onChange()
                    pauseAfter(outcome.sent)
                }
                ListingOutcome.Fenced -> {
                    logger.warn { "executor: fenced executor=$identifier epoch=$epoch" }
                    onFenced()
                    return
                }
                ListingOutcome.OtherExecutor -> {
                    logger.info {
                        "executor: address taken over executor=$identifier address=${request.report.address}"
                    }
                    fleet.withSchedule { it.recordReplacedExecutor(request.report, now) }
                    onChange()
                    delay(LISTING_RETRY_PAUSE)
                }
                is ListingOutcome.Failed -> {
                    logger.info { "executor: no answer executor=$identifier reason=${outcome.reason}" }
                    fleet.withSchedule { it.markUnreachable(identifier) }
                    onChange()
                    delay(LISTING_RETRY_PAUSE)
                }
            }
        }
    }

    /** Returns how long the executor may wait for the end of a run before it answers [request]. */
    private fun waitOf(request: GrantRequest): Duration =
        when {
            !request.busy || request.awaitsDurability || request.deadline == null -> Duration.ZERO
            // No end announces that a run does not exist.
            request.awaitsStops -> LISTING_WAIT_FOR_STOPS
            else -> LISTING_WAIT
        }

    private suspend fun pauseAfter(sent: ListingRequest) {
        val next = currentRequest() ?: return
        val firstWithoutGrant = sent.deadline == null && !listedWithoutGrant
        listedWithoutGrant = sent.deadline == null
        when {
            next.awaitsDurability -> withTimeoutOrNull(LONGEST_DURABILITY_WAIT) { awaitUntil { !it.awaitsDurability } }
            !next.busy && next.durableEnd == 0L -> withTimeoutOrNull(
                IDLE_LISTING_PAUSE,
            ) { awaitUntil { it.busy || it.isProbe } }
            // The answer over a new connection has told the incarnation, so that the next request can extend the grant.
            firstWithoutGrant -> Unit
            // Without a lease, the executor answers at once, so that this loop has to pause itself.
            sent.deadline == null -> delay(LISTING_RETRY_PAUSE)
        }
    }

    /** Waits for [condition]. Events of other executors also wake this watcher and must not cause a listing. */
    private suspend fun awaitUntil(condition: (GrantRequest) -> Boolean) {
        do {
            wakeSignal.receive()
        } while (currentRequest()?.let(condition) == false)
    }

    private fun currentRequest(): GrantRequest? {
        val now = clock.now()
        return fleet.withSchedule { it.grantRequest(identifier, Duration.ZERO, now, now) }
    }
}
