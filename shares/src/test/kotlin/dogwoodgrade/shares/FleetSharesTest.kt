package dogwoodgrade.shares

import kotlin.random.Random
import kotlin.test.Test

class FleetSharesTest {
    private fun uniform(from: Long, until: Long): (Random) -> Long = { it.nextLong(from, until) }

    private val scenarios: Map<String, List<TeamLoad>> = mapOf(
        "mixed" to listOf(
            TeamLoad("long", 4.0, 30.0, listOf(1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0), runTime = uniform(1000, 5000)),
            TeamLoad("tiny", 2.0, 1500.0, listOf(5.0, 1.0, 1.0, 0.0, 0.0, 0.0, 0.0), runTime = uniform(5, 45)),
            TeamLoad("one", 1.0, 30.0, listOf(0.0, 0.0, 0.0, 1.0, 0.0, 0.0, 0.0), runTime = uniform(300, 700)),
            TeamLoad("mid", 1.0, 30.0, listOf(0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0), runTime = uniform(200, 1800)),
        ),
        "split" to listOf(
            TeamLoad("a", 3.0, 500.0, listOf(1.0, 0.0, 0.0, 0.0), runTime = uniform(50, 250)),
            TeamLoad("b", 1.0, 500.0, listOf(0.0, 1.0, 1.0, 1.0), runTime = uniform(50, 250)),
        ),
        "even" to listOf(
            TeamLoad("a", 1.0, 100.0, List(8) { 1.0 }, runTime = uniform(100, 3000)),
            TeamLoad("b", 1.0, 1000.0, List(8) { 1.0 }, runTime = uniform(50, 100)),
            TeamLoad("c", 2.0, 1000.0, List(8) { 1.0 }, runTime = uniform(20, 200)),
        ),
    )

    @Test
    fun `measure`() {
        for ((name, loads) in scenarios) for (seed in 1L..3L) {
            val line = StringBuilder("$name seed $seed:")
            for ((label, policy, exchange) in listOf(
                Triple("fleet", LeastUsagePerShare, true), Triple("own", LeastUsagePerShare, false),
                Triple("fcfs", FirstComeFirstServed, true))) {
                val sim = FleetSimulation(loads, 56, seed, policy = policy, exchange = exchange).run(70_000)
                val worst = sim.worst(20_000, 70_000, loads.map { it.name })
                line.append(" $label %.3f %s %d util %.3f;".format(worst.first, worst.second, worst.third, sim.utilisation(20_000, 70_000)))
            }
            println(line)
            if (System.getenv("SERIES") == name) { val sim = FleetSimulation(loads, 56, seed).run(70_000); for (t in 0L..68_000L step 2000) println("%d ".format(t) + loads.map { "%s %.1f".format(it.name, sim.slotTime(it.name, t, t + 2000) / 2000.0) } + sim.debug(t)) }
        }
    }
}
