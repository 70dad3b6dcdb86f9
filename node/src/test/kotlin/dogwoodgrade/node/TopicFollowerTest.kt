package dogwoodgrade.node

import dogwoodgrade.ownership.ClockReading
import dogwoodgrade.platform.Topic
import dogwoodgrade.platform.standin.CallCourse
import dogwoodgrade.platform.standin.MemoryStore
import dogwoodgrade.platform.standin.MemoryTopics
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests which reads prove up to what time a follower has the records of its topic. */
class TopicFollowerTest {
    /** Time by which the time of day is ahead of the monotonic clock. */
    private var suspension = Duration.ZERO

    private fun TestScope.clock() =
        NodeClock(
            { Instant.fromEpochMilliseconds(currentTime) },
            { Instant.fromEpochMilliseconds(currentTime) + suspension },
        )

    private fun TestScope.ageOf(follower: TopicFollower): Duration {
        val asOf: ClockReading = assertNotNull(follower.currentAsOf)
        return clock().reading().elapsedSince(asOf)
    }

    private fun TestScope.follow(course: () -> CallCourse): TopicFollower {
        val store = MemoryStore(MemoryTopics(), backgroundScope) { _, _ -> course() }
        val pause = { 200.milliseconds }
        val follower =
            TopicFollower(store, Topic.States, clock(), pause, StoreAvailability(2.seconds)) { }
        backgroundScope.launch { follower.run() }
        backgroundScope.launch {
            while (true) {
                store.append(Topic.States, listOf("key" to null))
                delay(100.milliseconds)
            }
        }
        return follower
    }

    /** Guards against counts from before a suspension, during which the monotonic clock stands still (MIXED). */
    @Test
    fun `knowledge from before a suspension is as old as the suspension was long`() =
        runTest {
            var silent = false
            val follower = follow { CallCourse(response = if (silent) 10.seconds else 5.milliseconds) }
            delay(1.seconds)
            assertTrue(ageOf(follower) < 300.milliseconds)
            silent = true
            suspension = 8.seconds
            assertTrue(ageOf(follower) >= 8.seconds)
        }

    /** Guards against counts that pass for fresh after a read of an earlier state of the topic (MIXED). */
    @Test
    fun `a read that ends before what was read earlier proves nothing`() =
        runTest {
            val follower = follow { CallCourse(outdated = currentTime >= 1000) }
            delay(4.seconds)
            assertTrue(ageOf(follower) >= 3.seconds)
        }
}
