package dogwoodgrade.node

import dogwoodgrade.capacity.Machine
import dogwoodgrade.capacity.MachineLoad
import dogwoodgrade.capacity.MachineMove
import dogwoodgrade.capacity.MachineState
import dogwoodgrade.capacity.MaintenanceOrder
import dogwoodgrade.capacity.PoolDemand
import dogwoodgrade.capacity.SizedMachine
import dogwoodgrade.capacity.SizingPlan
import dogwoodgrade.capacity.SizingPolicy
import dogwoodgrade.capacity.WaveProgress
import dogwoodgrade.capacity.planMaintenance
import dogwoodgrade.capacity.planPoolSizes
import dogwoodgrade.platform.AppendOutcome
import dogwoodgrade.platform.MachineOutcome
import dogwoodgrade.platform.MachinesClient
import dogwoodgrade.platform.NodeSettings
import dogwoodgrade.platform.Topic
import dogwoodgrade.platform.waveStatus
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.ExecutorLoad
import dogwoodgrade.scheduling.FleetView
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/** Pause between two looks at the machines. */
private val machinePause: Duration = 300.milliseconds

/** Pause between two looks at the executors at the beginning of a term. */
private val firstPause: Duration = 50.milliseconds

/** Longest wait for the executors at the beginning of a term; they answer within some ten milliseconds if at all. */
private val longestFirstWait: Duration = 300.milliseconds

/** Time after a move until its executor is in the live list, which shows it up to 0.8 s late, and has answered. */
private val joinTime: Duration = 1500.milliseconds

/** Pause between two log lines on the load of the pools. */
private val loadLogInterval: Duration = 1.seconds

/**
 * Orders maintenance and moves of machines while this process owns the fleet.
 *
 * What was ordered in a wave is also in the progress topic, so that a new owner does not empty machines again.
 */
internal class MachineLoop(
    private val node: NodeParts,
    private val settings: NodeSettings,
    private val fleet: FleetTable,
    private val epoch: Long,
    private val record: (String, ByteArray) -> Unit,
) {
    private val clock = node.clock
    private val progress = mutableMapOf<Long, WaveProgress>()
    private val reported = mutableMapOf<Long, Boolean>()
    private var emptying = emptySet<String>()
    private val moved = mutableMapOf<String, Instant>()
    private val sizing = SizingPolicy()

    /** Executors whose machines may still be moved by an order that got no answer. */
    private val uncertain = mutableSetOf<ExecutorIdentifier>()
    private var surplusSince = emptyMap<String, Instant>()
    private var loadLoggedAt = Instant.DISTANT_PAST

    /** Looks at machines and gives orders until the coroutine is cancelled. */
    suspend fun run() {
        val client = node.machines ?: return
        awaitExecutors()
        while (true) {
            val view = fleet.withSchedule { it.fleet(clock.now(), clock.wall()) }
            logLoad(view)
            client.machines()?.associateBy { it.name }?.let { machines ->
                maintain(client, machines, view)
                size(client, machines, view)
            }
            delay(machinePause)
        }
    }

    /** Waits until the executors have answered; before, every machine would look lost. */
    private suspend fun awaitExecutors() {
        repeat((longestFirstWait / firstPause).toInt()) {
            delay(firstPause)
            if (fleet.withSchedule { it.executorsKnown() }) return
        }
    }

    private fun logLoad(view: FleetView) {
        val now = clock.now()
        if (now - loadLoggedAt < loadLogInterval) return
        loadLoggedAt = now
        val pools =
            view.pools.values.joinToString(" ") {
                "${it.pool}=${it.inUse.processor / 1000}/${it.capacity.processor / 1000}" +
                    "+${it.waiting.processor / 1000}~${it.arriving.processor / 1000}"
            }
        logger.info { "machines: load used/capacity+waiting~arriving cores $pools" }
    }

    private suspend fun maintain(client: MachinesClient, machines: Map<String, Machine>, view: FleetView) {
        val empty = mutableSetOf<String>()
        for (known in node.configuration.waves()) {
            val wave = known.wave
            if (reported[wave.number] == true) continue
            val current = progress
                .getOrPut(
                    wave.number,
                ) { recorded(WaveProgress(wave, known.seenAt)) }
                .copy(wave = wave)
            val loads = { machine: Machine -> loadOf(machine, view) }
            val now = clock.now()
            val decision = planMaintenance(current, emptying, machines, loads, settings.maintenanceTime, now)
            empty += decision.empty
            progress[wave.number] = current
            if (decision.completed) {
                report(wave.number, completed = true)
                continue
            }
            report(wave.number, completed = false)
            retire(empty, machines)
            for (machine in decision.maintain) {
                if (clock.now() < node.ownership.ordersUntil()) order(client, wave.number, machines.getValue(machine))
            }
        }
        retire(empty, machines)
    }

    private fun recorded(fresh: WaveProgress): WaveProgress =
        fresh.copy(maintained = node.maintained.of(fresh.wave.number))

    private fun loadOf(machine: Machine, view: FleetView): MachineLoad? {
        val load = machine.executor?.let { view.executors[it] } ?: return null
        return MachineLoad(load.batchRuns, load.longRuns)
    }

    private fun retire(names: Set<String>, machines: Map<String, Machine>) {
        emptying = names
        val executors = names.mapNotNullTo(mutableSetOf()) { machines[it]?.executor }
        uncertain.retainAll(machines.values.mapNotNull { it.executor }.toSet())
        executors += uncertain
        fleet.withSchedule { it.retire(executors) }
    }

    private suspend fun order(client: MachinesClient, wave: Long, machine: Machine) {
        val orderedAt = clock.now()
        val outcome = client.maintain(machine.name, wave, epoch)
        logger.info { "machines: maintenance machine=${machine.name} wave=$wave epoch=$epoch outcome=$outcome" }
        val current = progress.getValue(wave)
        progress[wave] =
            when (outcome) {
                MachineOutcome.Done -> {
                    machine.executor?.let { executor -> fleet.withSchedule { it.executorGone(executor, clock.now()) } }
                    val done = current.maintained + machine.name
                    record(MaintainedMachines.key(wave), MaintainedMachines.encode(done))
                    current.copy(maintained = done, orders = current.orders + confirmed(machine, orderedAt))
                }
                is MachineOutcome.Unknown ->
                    current.copy(
                        orders = current.orders + (machine.name to MaintenanceOrder(machine.name, orderedAt, false)),
                    )
                else -> current
            }
    }

    private suspend fun size(client: MachinesClient, machines: Map<String, Machine>, view: FleetView) {
        val now = clock.now()
        val evacuated = node.configuration.evacuatedZones()
        moved.values.removeIf { now - it > settings.moveTime + joinTime }
        val demands = view.pools.values.map {
            PoolDemand(
                it.pool,
                it.inUse,
                it.waiting,
                it.arriving,
                it.spread,
                it.standby,
            )
        }
        val standby = demands.filter { it.standby }.map { it.pool }.toSet()
        // Without the live list every machine would look lost.
        if (view.executors.isEmpty()) return
        val sized = machines.values.map { sizedMachine(it, it.pool in standby, view, evacuated) }
        val plan = planPoolSizes(demands, sized, surplusSince, sizing, now)
        surplusSince = plan.surplusSince
        move(client, plan)
    }

    private fun sizedMachine(
        machine: Machine,
        standby: Boolean,
        view: FleetView,
        evacuatedZones: Set<String>,
    ): SizedMachine {
        val load = machine.executor?.let { view.executors[it] }
        val evacuated = machine.zone in evacuatedZones
        val available = machine.zone !in view.silentZones && machine.name !in emptying
        val coming = isComing(machine, standby, load)
        // An executor that should have joined the live list by now is cut off or lost.
        val usable = available && !evacuated && (coming || machine.state == MachineState.Up && load?.usable == true)
        val idle =
            load == null && standby || load != null && load.batchRuns == 0 && load.longRuns == 0 && !load.draining
        val movable = available && !coming && machine.state == MachineState.Up && idle
        return SizedMachine(machine, usable, movable, evacuated)
    }

    /** Tells whether a machine is on its way to its pool. Standby machines have no executor that could join. */
    private fun isComing(machine: Machine, standby: Boolean, load: ExecutorLoad?): Boolean {
        val movedAt = moved[machine.name]
        val joining = movedAt != null && (clock.now() - movedAt < settings.moveTime || !standby && load == null)
        return machine.state == MachineState.Moving || joining
    }

    /** Orders all moves at once: one after the other, the last of a burst would wait for the answers to the others. */
    private suspend fun move(client: MachinesClient, plan: SizingPlan) =
        coroutineScope {
            plan.moves
                .filter { move ->
                    val executor = move.machine.executor
                    // Between the plan and the order, work may have been placed on the executor.
                    clock.now() < node.ownership.ordersUntil() &&
                        (executor == null || fleet.withSchedule { it.reserveForMove(executor) })
                }.map { move -> async { move to client.move(move.machine.name, move.pool, epoch) } }
                .awaitAll()
                .forEach { (move, outcome) -> moveAnswered(move, outcome, plan.wanted) }
        }

    private fun moveAnswered(move: MachineMove, outcome: MachineOutcome, wanted: Map<String, Int>) {
        val machine = move.machine
        val executor = machine.executor
        logger.info {
            "machines: move machine=${machine.name} from=${machine.pool} to=${move.pool} epoch=$epoch " +
                "wanted=${wanted[move.pool]} outcome=$outcome"
        }
        when (outcome) {
            MachineOutcome.Done -> {
                moved[machine.name] = clock.now()
                executor?.let { gone -> fleet.withSchedule { it.executorGone(gone, clock.now()) } }
            }
            is MachineOutcome.Unknown -> executor?.let { uncertain += it }
            else -> Unit
        }
    }

    private fun confirmed(machine: Machine, at: Instant): Pair<String, MaintenanceOrder> =
        machine.name to MaintenanceOrder(machine.name, at, true)

    private suspend fun report(wave: Long, completed: Boolean) {
        if (reported[wave] == completed) return
        val outcome = node.store.append(Topic.Status, listOf(waveStatus(wave, completed)))
        logger.info { "machines: wave=$wave completed=$completed outcome=$outcome" }
        if (outcome is AppendOutcome.Appended) reported[wave] = completed
    }
}
