package dogwoodgrade.measure

import javax.xml.parsers.DocumentBuilderFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards the plots against invalid XML, which browsers refuse, and against lines outside the axes. */
class PlotTest {
    private fun elements(plot: Plot, name: String) =
        DocumentBuilderFactory
            .newInstance()
            .newDocumentBuilder()
            .parse(plot.svg().byteInputStream())
            .getElementsByTagName(name)
            .let { list -> List(list.length) { list.item(it) } }

    private val plot =
        Plot("a < b", "time", "part", mapOf("x & y" to listOf(0.0 to 1.0, 10.0 to 3.0), "z" to listOf(5.0 to 2.0)))

    @Test
    fun `the document is well formed and names the title, axes and legend`() {
        val texts = elements(plot, "text").map { it.textContent }
        assertTrue(texts.containsAll(listOf("a < b", "time", "part", "x & y", "z")), "$texts")
    }

    @Test
    fun `each series is a line between the axes`() {
        val lines = elements(plot, "polyline").map { it.attributes.getNamedItem("points").nodeValue }
        assertEquals("70.0,253.3 560.0,40.0", lines.first())
        assertEquals(2, lines.size)
    }

    @Test
    fun `a plot without points has axes`() {
        assertEquals(2, elements(Plot("t", "x", "y", emptyMap()), "line").size)
    }
}
