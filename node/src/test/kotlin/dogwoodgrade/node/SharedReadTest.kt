package dogwoodgrade.node

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class SharedReadTest {
    /** Guards against answers from a read that was sent before the caller asked, and against a read for each caller. */
    @Test
    fun `callers share the first read that is sent after they have asked`() =
        runTest {
            val sentAt = mutableListOf<Long>()
            val reads =
                SharedRead(this) {
                    sentAt += currentTime
                    delay(READ_TIME)
                    true
                }
            val first = reads.join()
            delay(READ_TIME / 3)
            val others = List(CALLERS) { reads.join() }
            assertTrue(first.await())
            assertTrue(others.all { it.await() })
            assertEquals(listOf(0L, READ_TIME.inWholeMilliseconds), sentAt)
            assertTrue(reads.join().await())
            assertEquals(2 * READ_TIME.inWholeMilliseconds, sentAt.last())
        }

    private companion object {
        const val CALLERS = 5
        val READ_TIME = 300.milliseconds
    }
}
