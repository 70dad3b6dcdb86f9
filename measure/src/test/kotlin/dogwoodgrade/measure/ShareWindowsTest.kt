package dogwoodgrade.measure

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards the measured deviation against windows in which a team demands less than its share. */
class ShareWindowsTest {
    private fun sample(index: Int, waiting: Int) =
        ShareSample(index * SHARE_SAMPLE_INTERVAL_MILLISECONDS, 0, listOf(3.0 * index, 1.0 * index), listOf(5, waiting))

    @Test
    fun `the deviation is relative to the share`() {
        val windows = saturatedWindows(List(41) { sample(it, 1) }, listOf(1.0, 1.0))
        assertEquals(21, windows.size)
        assertTrue(windows.all { it.deviation == 0.5 })
        assertEquals(1, windows.count(ShareWindow::settled))
    }

    @Test
    fun `a window in which a team had nothing waiting does not count`() {
        assertTrue(saturatedWindows(List(30) { sample(it, if (it == 15) 0 else 1) }, listOf(1.0, 1.0)).isEmpty())
    }
}
