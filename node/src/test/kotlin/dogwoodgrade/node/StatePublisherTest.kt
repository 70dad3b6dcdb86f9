package dogwoodgrade.node

import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.platform.ReadOutcome
import dogwoodgrade.platform.StoreLimits
import dogwoodgrade.platform.Topic
import dogwoodgrade.platform.standin.MemoryStore
import dogwoodgrade.platform.standin.MemoryTopics
import dogwoodgrade.scheduling.JobIdentifier
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests what the summary of the jobs promises to an instance that has read any part of what an owner appends. */
class StatePublisherTest {
    /** Guards against counts without the jobs that a position covers whose states are appended after it (MIXED). */
    @Test
    fun `no part of an append has a position ahead of the jobs that it covers`() =
        runTest {
            val store = MemoryStore(MemoryTopics(), backgroundScope, StoreLimits(largestCall = 1))
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
            val appended = assertIs<ReadOutcome.Records>(store.read(Topic.States, 0, Duration.ZERO))
            for (record in appended.records) {
                val key = record.key
                FleetRecords.stateJobOf(key)?.let { named += it.toString() }
                if (key == FleetRecords.JOBS_POSITION_KEY) {
                    position = checkNotNull(FleetRecords.decodePosition(checkNotNull(record.value)))
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
