package dogwoodgrade.measure

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Guards the cost measurements against a wrong slope or intercept. */
class LineTest {
    @Test
    fun `points on a line give its intercept and slope`() {
        val line = fitLine(listOf(1.0, 2.0, 10.0).map { it to 3 + 2 * it })
        assertEquals(3.0, line.intercept, 1e-9)
        assertEquals(2.0, line.slope, 1e-9)
    }

    @Test
    fun `errors that cancel out leave the slope unchanged`() {
        val line = fitLine(listOf(0.0 to 1.0, 0.0 to -1.0, 4.0 to 5.0, 4.0 to 3.0))
        assertEquals(1.0, line.slope, 1e-9)
    }

    @Test
    fun `a single size gives no slope`() {
        assertFailsWith<IllegalArgumentException> { fitLine(listOf(2.0 to 1.0, 2.0 to 3.0)) }
    }
}
