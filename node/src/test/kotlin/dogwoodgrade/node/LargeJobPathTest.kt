package dogwoodgrade.node

import dogwoodgrade.platform.standin.StoreFaults
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs jobs whose progress does not fit into a record of the store, beside others. */
class LargeJobPathTest {
    private fun job(tasks: Int): String =
        """{"spec":"text","steps":[{"count":$tasks,"cpu":20,"mem-mb":10,"estimate-ms":300,"saves-progress":true}]}"""

    private fun TestPlatform.submit(name: String, tasks: Int) =
        assertEquals(200, call(nodes[0], "POST", "/queue/$name", job(tasks)).first)

    private suspend fun TestPlatform.awaitState(name: String, state: String) =
        await("$name is $state") { call(nodes[0], "GET", "/queue/$name").second == """{"state":"$state"}""" }

    /** Guards against a fleet that halts because the store never takes the progress of one job. */
    @Test
    fun `a job whose progress outgrows a record completes, and so do others beside it`() =
        onPlatform(executors = 1, platform = TestPlatform(RUN_TIME, checkpoint = "c".repeat(1000), failures = 1)) {
            submit("large", TASKS)
            repeat(3) { submit("small$it", 1) }
            repeat(3) { awaitState("small$it", "completed") }
            awaitState("large", "completed")
            submit("later", 1)
            awaitState("later", "completed")
            val runs = executors.single().startedRuns.groupBy { it.first }
            assertEquals(setOf(2), runs.values.map { it.size }.toSet(), "each task fails once and completes once")
        }

    /** Guards against a new owner that reads the parts of a job's progress incompletely. */
    @Test
    fun `a job whose progress outgrows a record completes under a new owner`() =
        onPlatform(executors = 1, platform = TestPlatform(RUN_TIME, checkpoint = "c".repeat(1000), failures = 1)) {
            submit("large", TASKS)
            val started = executors.single().startedRuns
            await("most tasks run for the second time") { started.size > TASKS * 3 / 2 }
            nodes.first { it.isOwner() }.let { owner ->
                nodes -= owner
                owner.kill()
            }
            awaitState("large", "completed")
            val runs = executors.single().startedRuns.groupBy { it.first }
            assertTrue(runs.values.all { it.size <= 2 }, "${runs.filterValues { it.size > 2 }}")
        }

    /** Guards against one job that keeps all others from becoming durable, whatever the reason. */
    @Test
    fun `a job whose record the store does not take fails, and others go on`() =
        onPlatform(executors = 1) {
            submit("small0", 1)
            awaitState("small0", "completed")
            store.faults = StoreFaults(largestRecord = 2_000)
            submit("large", TASKS)
            awaitState("large", "failed")
            submit("small1", 1)
            awaitState("small1", "completed")
        }

    /** Guards against callers that are refused because their records came together with others that fill a call. */
    @Test
    fun `submissions that exceed one call together are accepted`() =
        onPlatform(executors = 1) {
            store.faults = StoreFaults(largestCall = 400)
            coroutineScope { repeat(12) { launch(Dispatchers.IO) { submit("small$it", 1) } } }
            repeat(12) { awaitState("small$it", "completed") }
        }

    private companion object {
        /** With a checkpoint of 1,000 bytes for each task, the progress takes more than 262,144 bytes. */
        const val TASKS = 300

        /** Milliseconds in which all tasks start, so that all have a checkpoint before the first of them completes. */
        const val RUN_TIME = 1800L
    }
}
