package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange.MoveInstance
import dogwoodgrade.configuration.ConfigurationChange.ObserveRecovery
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PlanMovesTest {
    private val sparePool = PoolName("spare")
    private val options = MoveOptions((0..2).associate { PoolName("p$it") to 6 }, sparePool)
    private val state = fleet()

    private fun move(name: String, from: String, to: String) =
        MoveInstance(InstanceName(name), PoolName(from), PoolName(to))

    @Test
    fun `a lost instance is replaced by a spare of its zone and the spare goes back later`() {
        val failed = state.accept(fail("p1-4"))
        val moves = planMoves(failed, options)
        assertEquals(listOf(move("spare-1", "spare", "p1")), moves)
        val restored = failed.accept(moves)
        assertEquals(emptyList(), planMoves(restored, options))
        val back = planMoves(restored.accept(ObserveRecovery(InstanceName("p1-4"))), options)
        assertEquals(listOf(PoolName("p1") to sparePool), back.map { it.from to it.to })
    }

    @Test
    fun `a surplus is moved directly to a pool with a shortage`() {
        val surplus = state.accept(move("spare-0", "spare", "p0")).accept(fail("p2-1"))
        assertEquals(listOf(PoolName("p0") to PoolName("p2")), planMoves(surplus, options).map { it.from to it.to })
    }

    @Test
    fun `a shortage of spares is shared between pools`() {
        val names = (0..2).flatMap { pool -> (0..2).map { "p$pool-$it" } }
        val moves = planMoves(names.fold(state) { current, name -> current.accept(fail(name)) }, options)
        assertEquals(options.targetSizes.keys, moves.map { it.to }.toSet())
        assertEquals(3, moves.size)
    }

    @Test
    fun `draining, failed and already moved instances are not moved`() {
        val busy = state.accept(drain("spare-0")).accept(fail("spare-1")).accept(fail("p0-0"))
        assertEquals(listOf(move("spare-2", "spare", "p0")), planMoves(busy, options))
        val moved = options.copy(movedInWave = setOf(InstanceName("spare-2")))
        assertEquals(emptyList(), planMoves(busy, moved))
    }

    @Test
    fun `a tolerated loss causes no move`() {
        val tolerant = options.copy(toleratedLoss = 1)
        val one = state.accept(fail("p0-0"))
        assertEquals(0, planMoves(one, tolerant).size)
        assertEquals(2, planMoves(one.accept(fail("p0-1")), tolerant).size)
    }

    @Test
    fun `the buffer survives the loss of any domain with the fewest spares`() {
        val pools = options.targetSizes.keys

        fun size(current: ConfigurationState, domain: FailureDomain, tolerated: Int = 0) =
            sizeBuffer(current, BufferDemand(pools, domain) { tolerated })
        // Each of 3 zones holds 2 instances of 3 pools: 6 are lost, and 9 spares keep 6 in the other two zones.
        assertEquals(Buffer(9, 6, survives = true), size(state, FailureDomain.Zone))
        // Each of 6 racks holds 1 instance of 3 pools: 3 are lost; 4 spares in 4 racks keep 3.
        assertEquals(Buffer(4, 3, survives = true), size(state, FailureDomain.Rack))
        assertEquals(0, size(state, FailureDomain.Zone, tolerated = 2).instances)
    }

    @Test
    fun `the fixed spare pool survives if the spares outside the failed domain are enough`() {
        val demand = BufferDemand(options.targetSizes.keys, FailureDomain.Zone)
        assertEquals(Buffer(3, 6, survives = false), fixedBuffer(sparePool)(state, demand))
        assertTrue(fixedBuffer(sparePool)(fleet(spares = 9), demand).survives)
        assertTrue(!fixedBuffer(sparePool)(fleet(spares = 8), demand).survives)
    }
}
