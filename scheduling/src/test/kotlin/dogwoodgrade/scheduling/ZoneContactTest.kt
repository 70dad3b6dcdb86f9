package dogwoodgrade.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ZoneContactTest {
    private val now = Instant.fromEpochMilliseconds(1_000_000)

    private fun row(name: String, zone: String, listed: Duration, unanswered: Duration? = null): ExecutorRow {
        val report =
            ExecutorReport(ExecutorIdentifier(name), 1, "pool", "h:1", zone, false, Resources(1, 1), listOf("kind"))
        return ExecutorRow(report).also { row ->
            row.listedAt = now - listed
            row.unansweredSince = unanswered?.let { now - it }
        }
    }

    private fun names(vararg names: String) = names.map { ExecutorIdentifier(it) }.toSet()

    /** Guards against starts and machine moves into a zone whose calls have not timed out yet. */
    @Test
    fun `a zone is silent once several answers are overdue and nobody has answered since`() {
        val rows =
            listOf(
                row("a1", "a", listed = 1300.milliseconds, unanswered = 1200.milliseconds),
                row("a2", "a", listed = 1500.milliseconds, unanswered = 1150.milliseconds),
                row("a3", "a", listed = 3.seconds, unanswered = 200.milliseconds),
                row("b1", "b", listed = 100.milliseconds),
            )
        assertEquals(setOf("a"), zoneContact(rows, ZoneContact(), now).silent)
    }

    @Test
    fun `idle executors of a zone are asked when an answer is overdue`() {
        val rows =
            listOf(
                row("a1", "a", listed = 1100.milliseconds, unanswered = 1.seconds),
                row("a2", "a", listed = 3.seconds),
                row("a3", "a", listed = 500.milliseconds),
                row("b1", "b", listed = 3.seconds),
            )
        assertEquals(names("a2"), zoneContact(rows, ZoneContact(), now).probes)
        assertEquals(emptySet(), zoneContact(rows, ZoneContact(), now).silent)
    }

    /** Guards against a crashed rack that takes its whole zone out of use. */
    @Test
    fun `a zone of which one executor answers is not silent`() {
        val rows =
            listOf(
                row("a1", "a", listed = 4.seconds, unanswered = 3.seconds),
                row("a2", "a", listed = 4.seconds, unanswered = 3.seconds),
                row("a3", "a", listed = 100.milliseconds),
            )
        assertEquals(ZoneContact(), zoneContact(rows, ZoneContact(), now))
    }

    @Test
    fun `an answer that may still come in time makes nobody doubt`() {
        val rows = listOf("a1", "a2").map { row(it, "a", listed = 900.milliseconds, unanswered = 800.milliseconds) }
        assertEquals(ZoneContact(), zoneContact(rows, ZoneContact(), now))
    }

    /** Guards against machine moves into a zone whose executors have lapsed from the live list. */
    @Test
    fun `a silent zone stays silent for a while after its last executor was dropped`() {
        val rows = listOf(row("b1", "b", listed = 100.milliseconds))
        val first = zoneContact(rows, ZoneContact(silent = setOf("a")), now)
        assertEquals(setOf("a"), first.silent)
        assertEquals(setOf("a"), zoneContact(rows, first, now + 4.seconds).silent)
        assertEquals(emptySet(), zoneContact(rows, first, now + 5.seconds).silent)
    }
}
