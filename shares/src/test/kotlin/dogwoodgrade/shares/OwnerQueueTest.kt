package dogwoodgrade.shares

import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class OwnerQueueTest {
    @Test
    fun `the deadline heap stays small when many requests are cancelled`() {
        val queue = OwnerQueue(team("a"))
        val nodes =
            List(10_000) {
                val identifier = RequestIdentifier("r$it")
                RequestNode(
                    WaitingRequest(identifier, TEST_POOL, team("a"), RequestClass.Normal, at(0), at(9_000L + it)),
                )
            }
        nodes.forEach { queue.add(it, atHead = false) }
        nodes.drop(1).shuffled(kotlin.random.Random(1)).forEach { queue.remove(it, at(1)) }
        assertEquals(1, queue.size)
        assertTrue(queue.trackedDeadlines <= 70, "the heap holds ${queue.trackedDeadlines} entries")
        assertEquals(nodes.first(), queue.firstDueBefore(at(100_000)))
    }
}
