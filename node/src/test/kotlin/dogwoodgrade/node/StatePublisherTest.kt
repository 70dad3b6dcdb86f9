package dogwoodgrade.node

import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.platform.AppendOutcome
import dogwoodgrade.platform.LogStore
import dogwoodgrade.platform.Producer
import dogwoodgrade.platform.ReadOutcome
import dogwoodgrade.platform.SnapshotOutcome
import dogwoodgrade.platform.StoreLimits
import dogwoodgrade.platform.Topic
import dogwoodgrade.scheduling.JobIdentifier
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests what the summary of the jobs promises to an instance that has read any part of what an owner appends. */
class StatePublisherTest {
    /** A store that takes [limits] in one call and keeps the keys and values of all appended records. */
    private class RecordingStore(override val limits: StoreLimits) : LogStore {
        val records = mutableListOf<Pair<String, ByteArray?>>()

        override suspend fun append(
            topic: Topic,
            records: List<Pair<String, ByteArray?>>,
            producer: Producer?,
            expectedEnd: Long?,
            timeout: Duration,
        ): AppendOutcome {
            this.records += records
            return AppendOutcome.Appended(this.records.size.toLong())
        }

        override suspend fun read(topic: Topic, from: Long, wait: Duration) = ReadOutcome.Failed("not needed")

        override suspend fun newest(topic: Topic, after: String?) = SnapshotOutcome.Page(emptyList(), 0, null)
    }

    /** Guards against counts without the jobs that a position covers whose states are appended after it (MIXED). */
    @Test
    fun `no part of an append has a position ahead of the jobs that it covers`() =
        runTest {
            val store = RecordingStore(StoreLimits(largestCall = 1))
            val clock = NodeClock({ Instant.fromEpochMilliseconds(currentTime) })
            val owner = OwnershipRecord(1, "entry", "life", false, 1.0)
            val publisher = StatePublisher(store, StoreAvailability(2.seconds), clock, owner) { null }
            publisher.publishPosition(0)
            repeat(JOBS) { job ->
                publisher.publishAccepted(JobIdentifier("a$job"), "queue")
                publisher.publishPosition(job + 1L)
            }
            val publishing = launch { publisher.run() }
            testScheduler.advanceTimeBy(1.seconds)
            publishing.cancel()
            val named = mutableSetOf<String>()
            var position = 0L
            for ((key, value) in store.records) {
                FleetRecords.stateJobOf(key)?.let { named += it.toString() }
                if (key == FleetRecords.JOBS_POSITION_KEY) {
                    position = checkNotNull(FleetRecords.decodePosition(checkNotNull(value)))
                    val covered = (0..<position).map { "a$it" }
                    assertTrue(named.containsAll(covered), "position $position before ${covered - named}")
                }
            }
            assertEquals(JOBS.toLong(), position)
        }

    private companion object {
        const val JOBS = 5
    }
}
