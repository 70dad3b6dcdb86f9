package dogwoodgrade.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests the demand that pools show while the limit on unsent starts holds tasks back. */
class FleetViewTest {
    private val start = Instant.fromEpochMilliseconds(1_000_000_000)
    private val forever = start + 1000.seconds
    private var runs = 0L

    private fun report(name: String, pool: String, cores: Long) =
        ExecutorReport(
            ExecutorIdentifier(name),
            1,
            pool,
            "10.0.0.1:80",
            "zone-a",
            false,
            Resources(cores * 1000, 64_000),
            listOf("kind", "rack-1"),
        )

    /** Returns a scheduler with a second queue and pool, and executors that have answered. */
    private fun scheduler(reports: List<ExecutorReport>): Scheduler {
        val scheduler = Scheduler(SchedulingPolicy()) { ++runs }
        val configuration = onePoolConfiguration(attempts = 3)
        val queues = configuration.queues + ("second" to configuration.queues.getValue("queue").copy(pool = "burst"))
        val pools = configuration.pools + ("burst" to PoolSettings("burst", standby = false))
        scheduler.configure(configuration.copy(queues = queues, pools = pools))
        scheduler.updateLiveList(reports, start)
        for (report in reports) {
            val listing = ExecutorListing(report.incarnation, 100.seconds, emptyList(), emptyList())
            scheduler.processListing(report.identifier, listing, start, start)
        }
        starts(scheduler, start)
        return scheduler
    }

    private fun starts(scheduler: Scheduler, now: Instant): List<Order.Start> {
        scheduler.plan(now, now, forever, emptySet())
        return scheduler.takeChanges(now)?.let { scheduler.confirmDurable(it, forever, now) }.orEmpty()
    }

    private fun job(name: String, queue: String, pool: String, width: Int): Job {
        val step = Step(width, Resources(4_000, 1_000), 1.seconds)
        return Job(JobIdentifier(name), queue, pool, "team", "payload", listOf(step), null, start)
    }

    /**
     * Guards against pools that stay small at the beginning of a burst while other pools start the work that waited for
     * a takeover: the limit on unsent starts is reached for seconds, and all pools seem to need no machines.
     */
    @Test
    fun `after a takeover with a backlog, a full pool shows its demand while starts are limited`() {
        val limit = SchedulingPolicy().maximumUnsentStarts
        val scheduler =
            scheduler(List(8) { report("x$it", "pool", cores = 400) } + List(2) { report("y$it", "burst", cores = 16) })
        scheduler.accept(job("burst", "second", "burst", width = 20), null, start, start)
        assertEquals(8, starts(scheduler, start).size, "the pool of the burst is full")
        val now = start + 100.milliseconds
        scheduler.accept(job("backlog", "queue", "pool", width = limit + 50), null, now, now)
        assertEquals(limit, starts(scheduler, now).size)
        val loads = scheduler.fleetView(now, now).pools
        assertEquals(Resources.None, loads.getValue("pool").waiting, "this pool has room and waits for the owner")
        assertEquals(Resources.None, loads.getValue("pool").arriving)
        assertEquals(Resources(48_000, 12_000), loads.getValue("burst").waiting, "this pool is full")
        assertTrue(loads.getValue("burst").arriving.processor > 0)
    }
}
