package dogwoodgrade.routing

import dogwoodgrade.model.InstanceName
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.jetbrains.lincheck.datastructures.StressOptions
import kotlin.random.Random
import kotlin.test.Test

/** Guards against a slot that is taken twice or lost when threads use the table concurrently. */
class EndpointTableLincheckTest {
    private val table = EndpointTable().apply { configure(configurationOf(2, slots = 1), START) }

    // Seeding kotlin.random.Random loops 64 times, which Lincheck takes for a livelock.
    private object FirstChoice : Random() {
        override fun nextBits(bitCount: Int): Int = 0
    }

    @Operation
    fun reserve(): String =
        when (val result = table.reserve(request(), START, FirstChoice)) {
            is ReservationResult.Reserved -> "${result.reservation.number} ${result.reservation.endpoint.instance}"
            is ReservationResult.Unavailable -> result.reason.name
        }

    @Operation
    fun finish(
        @Param(gen = IntGen::class, conf = "1:3") number: Int,
    ): Boolean =
        table.finish(Reservation(number.toLong(), endpoint(0, 1), START, START), AttemptResult.Complete(200), START)

    @Operation
    fun inFlight(): Int = table.drainState(InstanceName("e0"), START).inFlight

    @Test
    fun `operations on the table are linearizable`() {
        StressOptions()
            .iterations(10)
            .invocationsPerIteration(250)
            .threads(3)
            .actorsPerThread(3)
            .actorsBefore(0)
            .actorsAfter(2)
            .check(this::class.java)
    }
}
