package dogwoodgrade.measure

import dogwoodgrade.codec.SnapshotCodec
import dogwoodgrade.configuration.ConfigurationChange.ObserveFailure
import dogwoodgrade.configuration.ConfigurationChange.ObserveRecovery
import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.ControlRecord
import dogwoodgrade.control.ControlState
import dogwoodgrade.control.DecodedRecord
import dogwoodgrade.control.fold
import dogwoodgrade.limits.LocalPermits
import dogwoodgrade.limits.PermitChange
import dogwoodgrade.limits.PermitLedger
import dogwoodgrade.limits.PermitReport
import dogwoodgrade.limits.planPermitReport
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.valueOrNull
import java.lang.management.ManagementFactory

/**
 * Measures the processor time of applying a record, planning a permit report, encoding a snapshot and table operations,
 * and the size of the control state, by the number of instances, teams, endpoints or entries.
 */
internal class ControlCostCommand : MeasureCommand("control-cost", "processor time of the control state") {
    private val threads = ManagementFactory.getThreadMXBean()

    override fun measure(seeds: List<Long>): Report {
        val instances = listOf(35, 500, 2_000, 8_000)
        val teams = listOf(6, 50, 150, 350)
        val costs = mapOf(
            "fold by instances" to instances.map { it.toDouble() to foldCost(it) },
            "snapshot by instances" to instances.map { it.toDouble() to snapshotCost(it) },
            "permit plan by teams, 36 entries" to teams.map { it.toDouble() to planCost(it, 36) },
            "queue and start by teams" to teams.map { it.toDouble() to cost(5_000, TableCosts.queueStep(it)) },
            "reserve and free by endpoints" to
                listOf(7, 38, 100).map { it.toDouble() to cost(20_000, TableCosts.reserveStep(it)) },
            "gossip round by entries" to
                listOf(8, 16, 36, 72).map { it.toDouble() to cost(200, TableCosts.gossipStep(it)) },
        )
        val rows = costs.map { (label, points) ->
            val line = fitLine(points)
            val nanoseconds = line.slope * 1_000
            Row(label, seeds.first(), listOf(points.first().second, points.last().second, line.intercept, nanoseconds))
        }
        val bytes = instances.map { SnapshotCodec.encode(stateOf(it)).size.toDouble() }
        val sizes = Row("snapshot bytes by instances", seeds.first(), listOf(bytes.first(), bytes.last()) + NO_LINE)
        val heaps = Row(
            "heap bytes of the state by instances",
            seeds.first(),
            listOf(heapOf(35), heapOf(8_000)) + NO_LINE,
        )
        return Report(name, COLUMNS, rows + sizes + heaps, Plot("Processor time", "size", "microseconds", costs))
    }

    /** Returns the processor time per call in microseconds, after a warm-up of as many calls. */
    private fun cost(repetitions: Int, step: (Int) -> Unit): Double {
        repeat(repetitions, step)
        val before = threads.currentThreadCpuTime
        repeat(repetitions, step)
        return (threads.currentThreadCpuTime - before) / 1_000.0 / repetitions
    }

    private fun stateOf(instances: Int): ControlState {
        val pools = (instances / 38).coerceAtLeast(5)
        val size = FleetSize("$instances", instances, pools, zones = 9, budget = 4, spares = 0)
        return ControlState.Empty.copy(configuration = fleetOf(size))
    }

    /** Returns the heap bytes of a state without permits and jobs, as the difference after a garbage collection. */
    private fun heapOf(instances: Int): Double {
        val memory = ManagementFactory.getMemoryMXBean()
        memory.gc()
        val before = memory.heapMemoryUsage.used
        val state = stateOf(instances)
        memory.gc()
        val used = memory.heapMemoryUsage.used - before
        check(state.configuration.instances.size >= instances) { "the fleet has too few instances" }
        return used.toDouble()
    }

    private fun foldCost(instances: Int): Double {
        var state = stateOf(instances)
        val name = InstanceName("instance-0")
        var number = 0
        return cost(1_000) {
            val identifier = RecordIdentifier("record-${number++}")
            val change = if (number % 2 == 1) ObserveFailure(name) else ObserveRecovery(name)
            val record = ControlRecord(identifier, 1, "entry-0", ControlBody.Configure(change))
            state = state.fold(state.offset, DecodedRecord(identifier, 1, Outcome.Success(record)))
        }
    }

    private fun snapshotCost(instances: Int): Double {
        val state = stateOf(instances)
        return cost(30) { check(SnapshotCodec.encode(state).isNotEmpty()) }
    }

    private fun planCost(teams: Int, entries: Int): Double {
        val members = List(entries) { identity(it) }
        val teamNames = List(teams) { TeamName("team-$it") }
        val ledgerWithLimits = teamNames.fold(PermitLedger()) { ledger, team ->
            ledger.setLimit(team, 400).valueOrNull() ?: ledger
        }
        val ledger = members.fold(ledgerWithLimits) { state, entry -> state.join(entry).valueOrNull() ?: state }
        val ledgerWithPermits = members.fold(ledger) { state, entry ->
            val report = PermitReport(entry, 1, teamNames.associateWith { PermitChange(0, 10, 20) })
            state.applyReport(report).valueOrNull() ?: state
        }
        val local = LocalPermits(members.first(), ledgerWithPermits)
        val demand = teamNames.associateWith { 20 }
        return cost(200) { planPermitReport(local, instantAt(it * 1_000L), members.toSet(), demand) }
    }

    private companion object {
        val NO_LINE = listOf(Double.NaN, Double.NaN)
        val COLUMNS = listOf("smallest (us or bytes)", "largest (us or bytes)", "intercept (us)", "slope (ns per unit)")
    }
}
