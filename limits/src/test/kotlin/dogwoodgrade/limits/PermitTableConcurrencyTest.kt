package dogwoodgrade.limits

import dogwoodgrade.model.Offset
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import kotlin.test.Test
import kotlin.time.Instant

/** Guards against a permit that concurrent tasks acquire twice. Lincheck creates a new instance for each run. */
class PermitTableConcurrencyTest {
    private val a = entry("a")
    private val full = PermitLedger().fold({
        it.setLimit(RED, 2)
    }, { it.join(a) }, { it.applyReport(report(a, 1, take = 2)) })
    private val table = PermitTable(a).also { it.accept(Offset(3), full) }

    @Operation
    fun acquire(): Boolean = table.tryAcquire(RED)

    @Operation
    fun release(): Boolean = runCatching { table.release(RED) }.isSuccess

    @Operation
    fun lower(): Boolean = table.accept(Offset(4), full.fold({ it.setLimit(RED, 1) }))

    @Operation
    fun plan(): String = table.planReport(Instant.fromEpochSeconds(0), setOf(a), emptyMap()).toString()

    @Operation
    fun returned(): Boolean = table.allPermitsReturned()

    @Test
    fun `concurrent operations are linearizable, so no permit is used twice`() {
        StressOptions()
            .iterations(5)
            .invocationsPerIteration(100)
            .threads(2)
            .actorsPerThread(3)
            .check(this::class)
    }
}
