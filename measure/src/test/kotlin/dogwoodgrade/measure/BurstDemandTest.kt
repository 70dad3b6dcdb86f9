package dogwoodgrade.measure

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards the demand that the simulations use against wrong bursts or means, which would invalidate every figure. */
class BurstDemandTest {
    private val demand = BurstDemand(queues = 5, burstMilliseconds = 4_000)

    @Test
    fun `each queue in turn asks for five times its mean and a twentieth in between`() {
        for (queue in 0 until 5) {
            for (time in 0L until 40_000 step 500) {
                val expected = if (time / 4_000 % 5 == queue.toLong()) 5.0 else 0.05
                assertEquals(expected, demand.factor(queue, time))
            }
        }
    }

    @Test
    fun `the mean factor of five queues is close to one`() {
        val mean = (0L until 20_000 step 100).map { demand.factor(2, it) }.average()
        assertEquals((5 + 4 * 0.05) / 5, mean, 1e-9)
    }

    @Test
    fun `exponential times have the requested mean`() {
        val random = Random(7)
        val mean = List(50_000) { random.nextExponential(200.0) }.average()
        assertTrue(mean in 195.0..205.0, "mean $mean")
    }

    @Test
    fun `weighted choices follow the weights and never take a weight of zero`() {
        val random = Random(7)
        val counts = List(30_000) { random.nextWeightedIndex(listOf(2.0, 0.0, 1.0)) }.groupingBy { it }.eachCount()
        assertEquals(setOf(0, 2), counts.keys)
        assertTrue(counts.getValue(0) in 19_500..20_500, "$counts")
    }
}
