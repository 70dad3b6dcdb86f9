package dogwoodgrade.node

import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.platform.SnapshotOutcome
import dogwoodgrade.platform.SocketAddress
import dogwoodgrade.platform.StoreClient
import dogwoodgrade.platform.Topic
import dogwoodgrade.platform.standin.StoreFaults
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.Resources
import dogwoodgrade.scheduling.Step
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

/** Tests what a new owner takes over from the summary that an earlier owner has published. */
class SummaryTakeoverTest {
    private fun publishedKeys(client: StoreClient, topic: Topic = Topic.States): Set<String> =
        runBlocking {
            val page = client.newest(topic, null) as SnapshotOutcome.Page
            page.records.mapTo(mutableSetOf()) { it.key }
        }

    /** Guards against an accepted job that a new owner removes from the summary, since it has not read it (MIXED). */
    @Test
    fun `a new owner keeps the jobs that an earlier one has published after it has loaded its own`() =
        onPlatform(executors = 1, nodes = 0) {
            val client = StoreClient(executorVertx, SocketAddress("127.0.0.1", store.port))
            store.secondPortFaults = StoreFaults(refusedAppends = setOf(STATES_TOPIC))
            val owner = startNode("entry-0", storePort = store.secondPort)
            awaitReady(owner)
            assertEquals(200, call(owner, "POST", "/queue/b", TestPlatform.TWO_STEPS).first)
            // The owner has loaded its jobs when it runs one.
            await("b completed") { call(owner, "GET", "/queue/b").second == """{"state":"completed"}""" }
            store.secondPortFaults =
                StoreFaults(refusedAppends = setOf(STATES_TOPIC), unreadableTopics = setOf(JOBS_TOPIC))
            // The long read that is under way still returns new jobs.
            delay(2.seconds)
            val other = startNode("entry-1")
            awaitReady(other)
            assertEquals(200, call(other, "POST", "/queue/a", TestPlatform.TWO_STEPS).first)
            store.write(STATES_TOPIC, "state/a", "Queued queue")
            store.write(STATES_TOPIC, "state/forgotten", "Completed queue")
            store.secondPortFaults = StoreFaults(unreadableTopics = setOf(JOBS_TOPIC))
            await("entry-0 publishes a position") { FleetRecords.JOBS_POSITION_KEY in publishedKeys(client) }
            assertTrue("state/a" in publishedKeys(client))
            store.secondPortFaults = StoreFaults()
            await("the forgotten job is removed") { "state/forgotten" !in publishedKeys(client) }
            assertTrue("state/a" in publishedKeys(client))
        }

    /** Guards against an owner that removes all jobs from the summary, since its table has no records (MIXED). */
    @Test
    fun `an instance keeps the records of the jobs while its claim has no answer`() =
        onPlatform(executors = 0, nodes = 0) {
            val client = StoreClient(executorVertx, SocketAddress("127.0.0.1", store.port))
            val step = Step(1, Resources(1, 1), 1.seconds)
            val job = Job(JobIdentifier("a"), "queue", "pool", "team", "", listOf(step), null, Clock.System.now())
            store.write(JOBS_TOPIC, FleetRecords.jobKey(job.identifier), FleetRecords.encode(job).decodeToString())
            store.write(STATES_TOPIC, "state/a", "Queued queue")
            store.write(STATES_TOPIC, FleetRecords.JOBS_POSITION_KEY, "1")
            store.secondPortFaults = StoreFaults(delayedAppends = setOf(PROGRESS_TOPIC))
            val weak = startNode("entry-0", storePort = store.secondPort, processorCores = 0.3)
            await("entry-0 claims") { FleetRecords.OWNER_KEY in publishedKeys(client, Topic.Progress) }
            val stronger = OwnershipRecord(2, "entry-1", "life", false, 1.0)
            store.write(PROGRESS_TOPIC, FleetRecords.OWNER_KEY, FleetRecords.encode(stronger).decodeToString())
            await("entry-0 has its answer") { weak.isOwner() }
            store.secondPortFaults = StoreFaults()
            await("entry-0 publishes states") { FleetRecords.OWNER_KEY in publishedKeys(client) }
            delay(1.seconds)
            assertTrue("state/a" in publishedKeys(client))
        }

    private companion object {
        const val JOBS_TOPIC = "keyed.dogwoodgrade-jobs"
        const val PROGRESS_TOPIC = "keyed.dogwoodgrade-progress"
        const val STATES_TOPIC = "keyed.dogwoodgrade-job-states"
    }
}
