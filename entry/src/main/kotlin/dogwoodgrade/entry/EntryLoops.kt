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

/** The recurring work of the process, each part in a coroutine that suspends between its runs. */
internal class EntryLoops(
    private val scope: CoroutineScope,
    private val now: () -> Instant,
    private val tables: EntryTables,
    private val freshness: FreshnessCell,
    private val follower: LogFollower,
    val reporter: PermitReporter,
    val gossip: GossipLoop,
    private val housekeeping: Housekeeping,
    val jobs: JobRunner,
    val proposer: Proposer,
    private val liveList: LiveListWatcher?,
    private val joined: JoinedEntry,
    private val tick: () -> Unit,
) {
    /** Starts the loops; they run until the scope is cancelled. */
    fun start() {
        scope.launch {
            follower.bootstrap()
            follower.follow()
        }
        scope.launch { reporter.run() }
        scope.launch { join() }
        scope.launch { every(TickInterval) { tickOnce() } }
        scope.launch { every(GossipInterval) { secondOnce() } }
        scope.launch { every(HousekeepingInterval) { housekeeping.run() } }
        liveList?.let { scope.launch { it.watch() } }
    }

    private suspend fun every(interval: Duration, action: suspend () -> Unit) {
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

    private fun tickOnce() {
        val time = now()
        val before = freshness.status(time)
        freshness.update { it.tick(time) }
        if (before is FreshnessStatus.Verifying) gossip.verify(scope)
        if (tables.requests.size > 0) reporter.planSoon()
        jobs.run(scope)
        tick()
    }

    private fun secondOnce() {
        gossip.round(scope)
        tables.budgets.removeIdle(now())
        reporter.planSoon()
    }

    /** Announces this process until the record is accepted. Without it the entry serves open queues only. */
    private suspend fun join() {
        while (!tables.control.state.isJoined(joined.identity)) {
            when (val outcome = proposer.propose(ControlBody.JoinEntry(joined), JoinTimeout)) {
                is Outcome.Success -> logger.info { "entry: ${joined.identity} has joined" }
                is Outcome.Failure -> {
                    logger.warn { "entry: joining failed: ${outcome.code}, ${outcome.message}" }
                    delay(JoinPause)
                }
            }
        }
    }

    private companion object {
        /** At most the 100 ms within which the queues must be asked again for a slot that was left to a peer. */
        val TickInterval: Duration = 100.milliseconds
        val GossipInterval: Duration = 1.seconds
        val JoinTimeout: Duration = 5.seconds
        val JoinPause: Duration = 500.milliseconds
    }
}
