package dogwoodgrade.samples

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Instant

class SamplesTest {
    private val now = Instant.fromEpochSeconds(1_700_000_000)

    @Test
    fun `the permits sample starts no more tasks than the limit`() {
        assertEquals(5, runWithUpperLimit(limit = 5, attempts = 9, now))
        assertEquals(3, runWithUpperLimit(limit = 5, attempts = 3, now))
    }

    @Test
    fun `the queue sample divides slots by shares`() {
        assertEquals(9 to 3, divideSlots(firstShare = 3.0, secondShare = 1.0, slots = 12, now))
    }

    @Test
    fun `the page on embedding shows the compiled sample`() {
        val source = Files.readString(Path.of("src/main/kotlin/dogwoodgrade/samples/PermitsSample.kt"))
        val body = source.substring(source.indexOf("public fun runWithUpperLimit")).trim()
        assertTrue(
            body in Files.readString(Path.of("../docs/embedding.md")),
            "docs/embedding.md differs from the sample",
        )
    }
}
