package dogwoodgrade.node

import dogwoodgrade.platform.standin.StoreFaults
import kotlinx.coroutines.delay
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs entry instances whose knowledge of the jobs is missing or old: what they answer, and how they catch up. */
class AnswerAgeTest {
    private fun TestPlatform.count(node: TestNode): Pair<Int, String> = call(node, "GET", "/queue/")

    private suspend fun TestPlatform.submitAll(node: TestNode, jobs: Int, text: String = "text") =
        repeat(jobs) {
            val body = TestPlatform.TWO_STEPS.replace("\"text\"", "\"$text\"")
            assertEquals(200, call(node, "POST", "/queue/a$it", body).first)
        }

    /** Waits until [node] knows the queues; it may not know the jobs yet. */
    private suspend fun TestPlatform.awaitConfiguration(node: TestNode) =
        await("${node.name} has a configuration") { call(node, "GET", "/nowhere/").first == 404 }

    /** Guards against counts from a table that holds only the jobs which the instance has accepted itself. */
    @Test
    fun `an instance that has not read the jobs since its start refuses to count them`() =
        onPlatform(executors = 0, nodes = 1) {
            submitAll(nodes[0], 5)
            store.secondPortFaults = StoreFaults(unreadableTopics = JOB_TOPICS)
            val late = startNode("entry-1", storePort = store.secondPort)
            awaitConfiguration(late)
            assertEquals(503, count(late).first)
            store.secondPortFaults = StoreFaults()
            await("entry-1 counts") { count(late).first == 200 }
            assertEquals("""{"pending":5}""", count(late).second)
        }

    /** Guards against counts and states that go on from an old table while the log cannot be read. */
    @Test
    fun `an instance that has not read the log for seconds refuses counts and states that may have changed`() =
        onPlatform(executors = 0, nodes = 1) {
            val cutOff = startNode("entry-1", storePort = store.secondPort)
            awaitReady(cutOff)
            submitAll(nodes[0], 5)
            await("entry-1 counts all") { count(cutOff) == 200 to """{"pending":5}""" }
            store.secondPortFaults = StoreFaults(silent = true)
            delay(3.seconds)
            assertEquals(503, count(cutOff).first)
            assertEquals(503, call(cutOff, "GET", "/queue/a0").first)
        }

    /** Guards against a snapshot that starts again from its first page whenever one of its pages is lost. */
    @Test
    fun `a snapshot of many pages is read although every third page is refused`() =
        onPlatform(executors = 0, nodes = 1) {
            submitAll(nodes[0], 10)
            store.snapshotPageSize = 2
            store.secondPortFaults = StoreFaults(refusedPageInterval = 3)
            val late = startNode("entry-1", storePort = store.secondPort)
            await("entry-1 counts all") { count(late) == 200 to """{"pending":10}""" }
        }

    /** Guards against weak machines whose links are full of payloads that they do not need. */
    @Test
    fun `a weak instance learns of all jobs without reading their payloads`() =
        onPlatform(nodes = 0) {
            awaitReady(startNode("entry-0", processorCores = 1.5))
            await("entry-0 owns the fleet") { nodes[0].isOwner() }
            submitAll(nodes[0], 40, text = "x".repeat(LARGE_PAYLOAD))
            val weak = startNode("entry-1", storePort = store.secondPort, processorCores = 0.3)
            repeat(40) { job ->
                await("a$job completed") { call(weak, "GET", "/queue/a$job").second == """{"state":"completed"}""" }
            }
            await("nothing waits") { count(weak) == 200 to """{"pending":0}""" }
            val read = store.bytesRead(store.secondPort, JOBS_TOPIC)
            assertTrue(read < 10 * LARGE_PAYLOAD, "$read bytes of jobs were read")
        }

    /** Guards against queries for unknown jobs that each read the beginning of the log again. */
    @Test
    fun `queries for unknown jobs do not read the jobs from the beginning before the table is complete`() =
        onPlatform(executors = 0, nodes = 1) {
            submitAll(nodes[0], 10, text = "x".repeat(LARGE_PAYLOAD))
            store.secondPortFaults = StoreFaults(refusedSnapshots = JOB_TOPICS)
            val late = startNode("entry-1", storePort = store.secondPort)
            awaitConfiguration(late)
            repeat(20) { call(late, "GET", "/queue/b$it") }
            assertEquals(0, store.bytesRead(store.secondPort, JOBS_TOPIC))
        }

    /** Guards against states of jobs that an owner forgot but could not remove, which answer queries for ever. */
    @Test
    fun `a state whose job is no longer in the log is removed from the summary by a new owner`() =
        onPlatform(executors = 0, nodes = 0) {
            store.write(STATES_TOPIC, "state/ended", "Completed queue")
            store.write(STATES_TOPIC, "state/waiting", "Queued queue")
            awaitReady(startNode("entry-0", processorCores = 1.5))
            await("entry-0 owns the fleet") { nodes[0].isOwner() }
            awaitReady(startNode("entry-1", processorCores = 0.3))
            for (node in nodes) {
                await("${node.name} does not know the job") { call(node, "GET", "/queue/ended").first == 410 }
                await("${node.name} counts no job") { count(node) == 200 to """{"pending":0}""" }
            }
        }

    /** Guards against a 410 for a job that was accepted while a read over a full link was under way. */
    @Test
    fun `a job accepted after a long read was sent is not unknown when that read ends`() =
        onPlatform(executors = 0, nodes = 1) {
            val late = startNode("entry-1", storePort = store.secondPort)
            awaitReady(late)
            store.secondPortFaults = StoreFaults(slowTopics = setOf(JOBS_TOPIC))
            val first = thread { call(late, "GET", "/queue/b") }
            delay(700.milliseconds)
            assertEquals(200, call(nodes[0], "POST", "/queue/a", TestPlatform.TWO_STEPS).first)
            delay(3300.milliseconds)
            assertNotEquals(410, call(late, "GET", "/queue/a").first)
            first.join()
        }

    /** Guards against 503 for queues that do not exist, while a read waits for the next configuration for seconds. */
    @Test
    fun `an instance that reads the log knows at any time that a queue does not exist`() =
        onPlatform(executors = 0, nodes = 1) {
            val statuses =
                List(20) {
                    delay(200.milliseconds)
                    call(nodes[0], "GET", "/nowhere/").first
                }
            assertEquals(setOf(404), statuses.toSet())
        }

    /** Guards against a 410 for an accepted job from a read that was sent before it was accepted; the job runs on. */
    @Test
    fun `a job that was accepted during a read for another caller is not unknown`() =
        onPlatform(executors = 0, nodes = 1) {
            val late = startNode("entry-1", storePort = store.secondPort)
            awaitReady(late)
            store.secondPortFaults = StoreFaults(delayedTopics = setOf(JOBS_TOPIC))
            val first = thread { call(late, "GET", "/queue/b") }
            delay(200.milliseconds)
            assertEquals(200, call(nodes[0], "POST", "/queue/a", TestPlatform.TWO_STEPS).first)
            assertNotEquals(410, call(late, "DELETE", "/queue/a").first)
            first.join()
        }

    private companion object {
        const val JOBS_TOPIC = "keyed.dogwoodgrade-jobs"
        const val STATES_TOPIC = "keyed.dogwoodgrade-job-states"
        const val LARGE_PAYLOAD = 3000
        val JOB_TOPICS =
            setOf(JOBS_TOPIC, "keyed.dogwoodgrade-progress", STATES_TOPIC)
    }
}
