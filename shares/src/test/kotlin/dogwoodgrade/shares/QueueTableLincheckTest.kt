package dogwoodgrade.shares

import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.jetbrains.lincheck.datastructures.StressOptions
import kotlin.test.Test

/** Guards against a request that concurrent workers take twice, or take and cancel at the same time. */
@Param(name = "number", gen = IntGen::class, conf = "1:3")
class QueueTableLincheckTest {
    private val table = QueueTable(QueueSettings(queueBound = 2))

    @Operation
    fun offer(
        @Param(name = "number") number: Int,
    ): Boolean {
        val request =
            WaitingRequest(identifier(number), TEST_POOL, team("a"), RequestClass.Normal, at(0), at(1_000))
        return table.offer(request, at(0)) == OfferResult.Queued
    }

    @Operation
    fun take(): String? = table
        .takeNext(TEST_POOL, at(0), FreeSlots(1, 1)) { true }
        .started
        ?.identifier
        ?.text

    @Operation
    fun cancel(
        @Param(name = "number") number: Int,
    ): Boolean = table.cancel(identifier(number), at(0)) != null

    @Operation
    fun requeue(
        @Param(name = "number") number: Int,
    ): Boolean =
        table.requeue(identifier(number), at(0)) == OfferResult.Queued

    @Operation
    fun expire(): Int = table.expire(at(0)).size

    private fun identifier(number: Int) = RequestIdentifier("r$number")

    @Test
    fun `concurrent operations are linearizable`() {
        StressOptions()
            .iterations(20)
            .invocationsPerIteration(500)
            .threads(3)
            .actorsPerThread(3)
            .check(this::class)
    }
}
