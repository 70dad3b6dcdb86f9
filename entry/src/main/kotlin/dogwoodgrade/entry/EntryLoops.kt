package dogwoodgrade.entry

import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.JoinedEntry
import dogwoodgrade.membership.FreshnessStatus
import dogwoodgrade.model.Outcome
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/** Runs the recurring tasks of the process, each in a coroutine that suspends between runs. */
internal class EntryLoops(
    private val scope: CoroutineScope,
    private val now: () -> Instant,
    private val tables: EntryTables,
    private val freshness: AtomicFreshness,
    private val follower: LogFollower,
    val reporter: PermitReporter,
    val gossip: GossipLoop,
    private val housekeeping: Housekeeping,
    val jobs: JobRunner,
    val proposer: Proposer,
    private val liveList: LiveListWatcher?,
    private val joined: JoinedEntry,
    private val postTick: () -> Unit,
) {
    /** Starts the loops; they run until the scope is cancelled. */
    fun start() {
        scope.launch {
            follower.bootstrap()
            follower.follow()
        }
        scope.launch { reporter.run() }
        scope.launch { join() }
        scope.launch { repeatEvery(TICK_INTERVAL) { runTick() } }
        scope.launch { repeatEvery(GOSSIP_INTERVAL) { runGossip() } }
        scope.launch { repeatEvery(HOUSEKEEPING_INTERVAL) { housekeeping.run() } }
        liveList?.let { scope.launch { it.watch() } }
    }

    private suspend fun repeatEvery(interval: Duration, action: suspend () -> Unit) {
        while (true) {
            try {
                action()
            } catch (cancellation: CancellationException) {
                throw cancellation
            } catch (failure: RuntimeException) {
                logger.error(failure) { "entry: a recurring task failed" }
            }
            delay(interval)
        }
    }

    private fun runTick() {
        val time = now()
        val before = freshness.status(time)
        freshness.update { it.tick(time) }
        if (before is FreshnessStatus.Verifying) gossip.verify(scope)
        if (tables.requests.size > 0) reporter.requestPlan()
        jobs.run(scope)
        postTick()
    }

    private fun runGossip() {
        gossip.round(scope)
        tables.budgets.removeIdle(now())
        reporter.requestPlan()
    }

    /** Proposes the join record until it is accepted. An entry that has not joined serves open queues only. */
    private suspend fun join() {
        while (!tables.control.state.isJoined(joined.identity)) {
            when (val outcome = proposer.propose(ControlBody.JoinEntry(joined), JOIN_TIMEOUT)) {
                is Outcome.Success -> logger.info { "entry: ${joined.identity} has joined" }
                is Outcome.Failure -> {
                    logger.warn { "entry: joining failed: ${outcome.code}, ${outcome.message}" }
                    delay(JOIN_RETRY_DELAY)
                }
            }
        }
    }

    private companion object {
        /** The queues must be polled again within 100 ms for a slot that was left to a peer. */
        val TICK_INTERVAL: Duration = 100.milliseconds
        val GOSSIP_INTERVAL: Duration = 1.seconds
        val JOIN_TIMEOUT: Duration = 5.seconds
        val JOIN_RETRY_DELAY: Duration = 500.milliseconds
    }
}
