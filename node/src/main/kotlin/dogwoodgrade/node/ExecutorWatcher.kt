package dogwoodgrade.node

import dogwoodgrade.platform.ExecutorClient
import dogwoodgrade.platform.ListingOutcome
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.GrantRequest
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Time an executor waits for an end before it answers; each answer is billed as a probe. */
private val endWait: Duration = 700.milliseconds

/** Pause between two looks at an executor on which nothing runs. */
private val idlePause: Duration = 4.seconds

/** Longest wait for ends to become durable before the next look. */
private val durabilityWait: Duration = 250.milliseconds

/** Pause after an executor gave no answer. */
private val failurePause: Duration = 200.milliseconds

/**
 * Watches one executor while this process owns the fleet: extends its grant and learns what runs and what has ended.
 *
 * @param grant how long a grant lasts
 * @param onChange called after the schedule has changed
 * @param onFenced called if a newer owner gives the orders
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
    private val woken = Channel<Unit>(Channel.CONFLATED)

    /** Ends a pause: a run starts there, or ends have become durable. */
    fun wake() {
        woken.trySend(Unit)
    }

    /** Watches until the executor is no longer known. */
    suspend fun run() {
        while (true) {
            val sentAt = clock.now()
            val request =
                fleet.withSchedule { it.grantRequest(identifier, grant, ownership.grantsUntil(), sentAt) } ?: return
            fleet.withSchedule { it.asked(identifier, sentAt) }
            val wait = if (request.busy &&
                !request.awaitsDurability &&
                request.deadline != null
            ) {
                endWait
            } else {
                Duration.ZERO
            }
            val outcome = client.list(request.report, request.deadline, request.durableEnd, wait, epoch)
            val now = clock.now()
            when (outcome) {
                is ListingOutcome.Listed -> {
                    fleet.withSchedule { it.listed(identifier, outcome.listing, sentAt, now) }
                    onChange()
                    pauseAfter(request)
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
                    fleet.withSchedule { it.executorGone(identifier, now) }
                    onChange()
                    return
                }
                is ListingOutcome.Failed -> {
                    logger.info { "executor: no answer executor=$identifier reason=${outcome.reason}" }
                    fleet.withSchedule { it.unreachable(identifier) }
                    onChange()
                    delay(failurePause)
                }
            }
        }
    }

    private suspend fun pauseAfter(request: GrantRequest) {
        val next = look() ?: return
        when {
            next.awaitsDurability -> withTimeoutOrNull(durabilityWait) { awaitUntil { !it.awaitsDurability } }
            !next.busy && request.durableEnd == next.durableEnd -> withTimeoutOrNull(
                idlePause,
            ) { awaitUntil { it.busy || it.probe } }
            // Without a lease there is no waiting request that would slow this loop down.
            next.busy && request.deadline == null -> delay(failurePause)
        }
    }

    /** Other executors' starts and ends wake this watcher too, and must not cost a look at this one. */
    private suspend fun awaitUntil(condition: (GrantRequest) -> Boolean) {
        do {
            woken.receive()
        } while (look()?.let(condition) == false)
    }

    private fun look(): GrantRequest? {
        val now = clock.now()
        return fleet.withSchedule { it.grantRequest(identifier, Duration.ZERO, now, now) }
    }
}
