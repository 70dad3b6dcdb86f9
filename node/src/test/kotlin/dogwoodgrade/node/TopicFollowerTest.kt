package dogwoodgrade.node

import dogwoodgrade.ownership.ClockReading
import dogwoodgrade.platform.AppendOutcome
import dogwoodgrade.platform.LogStore
import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.ReadOutcome
import dogwoodgrade.platform.SnapshotOutcome
import dogwoodgrade.platform.StoreLimits
import dogwoodgrade.platform.Topic
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
    /** A store that is only read, each time as [read] says. */
    private class ReadStore(private val read: suspend (Long) -> ReadOutcome) : LogStore {
        override val limits = StoreLimits()

        override suspend fun append(
            topic: Topic,
            records: List<Pair<String, ByteArray?>>,
            producer: Producer?,
            expectedEnd: Long?,
            timeout: Duration,
        ): AppendOutcome = AppendOutcome.NotAppended("not needed")

        override suspend fun read(topic: Topic, from: Long, wait: Duration) = read(from)

        override suspend fun newest(topic: Topic, after: String?) = SnapshotOutcome.Page(emptyList(), END, null)
    }

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

    private fun TestScope.follow(read: suspend (Long) -> ReadOutcome): TopicFollower {
        val pause = { 200.milliseconds }
        val follower =
            TopicFollower(ReadStore(read), Topic.States, clock(), pause, StoreAvailability(2.seconds)) { }
        backgroundScope.launch { follower.run() }
        return follower
    }

    private fun nothingNew(from: Long, end: Long = from) = ReadOutcome.Records(emptyList(), from, end)

    /** Guards against counts from before a suspension, during which the monotonic clock stands still (MIXED). */
    @Test
    fun `knowledge from before a suspension is as old as the suspension was long`() =
        runTest {
            var silent = false
            val follower =
                follow { from ->
                    delay(if (silent) 10.seconds else 5.milliseconds)
                    nothingNew(from)
                }
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
            val follower =
                follow { from ->
                    delay(5.milliseconds)
                    nothingNew(from, end = if (currentTime < 1000) from else from - 1)
                }
            delay(4.seconds)
            assertTrue(ageOf(follower) >= 3.seconds)
        }

    private companion object {
        const val END = 7L
    }
}
