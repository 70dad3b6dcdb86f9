package dogwoodgrade.node

import dogwoodgrade.platform.standin.StoreFaults
import kotlinx.coroutines.delay
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** Runs more tasks on one executor than it lists as ended at once. */
class ManyEndsPathTest {
    /** Guards against tasks that start again after they have completed, because a full list lacks their end. */
    @Test
    fun `tasks that end while the store is down run once, however many they are`() =
        onPlatform(executors = 1, nodes = 1, platform = TestPlatform(RUN_TIME)) {
            val job = """{"spec":"text","steps":[{"count":$TASKS,"cpu":12,"mem-mb":10,"estimate-ms":$RUN_TIME}]}"""
            assertEquals(200, call(nodes[0], "POST", "/queue/many", job).first)
            val executor = executors.single()
            await("all tasks have started, and the first have ended") {
                executor.startedRuns.size >= TASKS && executor.endedRuns > 0
            }
            store.faults = StoreFaults(refuse = true)
            await("more tasks have ended than two listings show") { executor.unacknowledgedEnds > TWO_FULL_LISTS }
            delay(OUTAGE_AFTER_ENDS)
            store.faults = StoreFaults()
            await(
                "the job has completed",
            ) { call(nodes[0], "GET", "/queue/many").second == """{"state":"completed"}""" }
            assertEquals(TASKS, executor.startedRuns.size)
        }

    private companion object {
        const val TASKS = 1200
        const val TWO_FULL_LISTS = 1000

        /** Milliseconds, enough to start all tasks before the first one ends. */
        const val RUN_TIME = 9000L

        /** Time in which several listings show the full list. */
        val OUTAGE_AFTER_ENDS = 500.milliseconds
    }
}
