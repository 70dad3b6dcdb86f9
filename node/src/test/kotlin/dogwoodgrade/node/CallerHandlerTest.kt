package dogwoodgrade.node

import dogwoodgrade.ownership.ClockReading
import dogwoodgrade.platform.JobApiReply
import dogwoodgrade.platform.JobApiRequest
import dogwoodgrade.platform.JobOperation
import dogwoodgrade.platform.KeyedRecord
import dogwoodgrade.platform.OperatorConfiguration
import dogwoodgrade.platform.OperatorRecord
import dogwoodgrade.platform.QueueRoute
import dogwoodgrade.platform.standin.MemoryStore
import dogwoodgrade.platform.standin.MemoryTopics
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobState
import dogwoodgrade.scheduling.SchedulingConfiguration
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.test.runTest
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests what callers are told when a table is not complete, or too old to tell. */
class CallerHandlerTest {
    private val now = ClockReading(Instant.fromEpochMilliseconds(0), Instant.fromEpochMilliseconds(0))
    private val clock = NodeClock({ now.monotonic }, { now.timeOfDay })
    private val jobs = JobTable().apply { followSummary() }
    private var newestConfiguration = false
    private var ages = TableAges(100.milliseconds, 100.milliseconds, 100.milliseconds)
    private val configuration =
        ConfigurationTable().apply {
            val route = QueueRoute("queue", "localhost", "/queue/", false)
            val record =
                OperatorRecord.Configuration(
                    OperatorConfiguration(1, listOf(route), mapOf("key-1" to "team"), SchedulingConfiguration(1)),
                )
            apply(listOf(record), true, now.monotonic)
        }
    private val handler =
        CallerHandler(
            configuration,
            jobs,
            JobIntake(
                MemoryStore(MemoryTopics(), CoroutineScope(EmptyCoroutineContext)),
                "entry",
                clock,
                StoreAvailability(2.seconds),
            ),
            clock,
            NodeMetrics(),
            { true },
            { },
            { ages },
            { ages },
            { newestConfiguration },
        )

    private suspend fun query(path: String, key: String = "key-1") =
        handler.handle(JobApiRequest(JobOperation.Query, "localhost", path, key, null, Buffer.buffer()))

    private fun readSummary(snapshot: Boolean) {
        val records =
            listOf(
                FleetRecords.stateKey(JobIdentifier("a")) to
                    FleetRecords.encode(PublishedState(JobState.Queued, "queue")),
                FleetRecords.JOBS_POSITION_KEY to FleetRecords.encodePosition(9),
            )
        val read = records.map { (key, value) -> KeyedRecord(key, value, 0) }
        jobs.applySummary(FollowedRecords(read, snapshot, 2, reachedEnd = true))
    }

    /** Guards against counts without the jobs that a snapshot of the summary lacks though its position covers them. */
    @Test
    fun `jobs are not counted while the table is not complete, however lately it was read`() =
        runTest {
            readSummary(snapshot = false)
            assertEquals(JobApiReply.Pending(1), query("/queue/"))
            readSummary(snapshot = true)
            assertIs<JobApiReply.NotRun>(query("/queue/"))
            readSummary(snapshot = false)
            assertEquals(JobApiReply.Pending(1), query("/queue/"))
        }

    /** Guards against 404 and 401 for a queue or a key that was added while the instance could not read the log. */
    @Test
    fun `queues and keys are unknown only to a configuration that was read lately`() =
        runTest {
            assertEquals(JobApiReply.NoSuchQueue, query("/other/"))
            assertEquals(JobApiReply.UnknownKey, query("/queue/", key = "key-2"))
            for (age in listOf(null, 10.seconds)) {
                ages = ages.copy(configuration = age)
                assertIs<JobApiReply.NotRun>(query("/other/"))
                assertIs<JobApiReply.NotRun>(query("/queue/", key = "key-2"))
            }
            newestConfiguration = true
            assertEquals(JobApiReply.NoSuchQueue, query("/other/"))
        }
}
