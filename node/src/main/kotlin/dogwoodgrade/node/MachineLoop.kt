package dogwoodgrade.node

import dogwoodgrade.capacity.Machine
import dogwoodgrade.capacity.MachineAvailability
import dogwoodgrade.capacity.MachineLoad
import dogwoodgrade.capacity.MachineMove
import dogwoodgrade.capacity.MachineState
import dogwoodgrade.capacity.MaintenanceOrder
import dogwoodgrade.capacity.OpenOrder
import dogwoodgrade.capacity.OrderSettlement
import dogwoodgrade.capacity.PoolDemand
import dogwoodgrade.capacity.SizingPlan
import dogwoodgrade.capacity.SizingPolicy
import dogwoodgrade.capacity.WaveProgress
import dogwoodgrade.capacity.planMaintenance
import dogwoodgrade.capacity.planPoolSizes
import dogwoodgrade.capacity.settlementOf
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
import kotlin.time.DurationUnit
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/** Pause between two reads of the list of machines. */
private val MACHINE_CHECK_PAUSE: Duration = 300.milliseconds

/** Part of the accepted rate of orders that moves use; the rest is left for maintenance and for an earlier owner. */
private const val MOVE_RATE_SHARE = 0.5

/** Pause between two checks for the first answers of the executors at the beginning of a term. */
private val FIRST_EXECUTOR_CHECK_PAUSE: Duration = 50.milliseconds

/** Longest wait for the executors at the beginning of a term; those that answer do so within some 10 ms. */
private val LONGEST_FIRST_EXECUTOR_WAIT: Duration = 300.milliseconds

/** Time after a move until its executor has answered and is in the live list, which shows it up to 0.8 s late. */
private val EXECUTOR_JOIN_TIME: Duration = 1500.milliseconds

/** Interval between two log lines about the load of the pools. */
private val LOAD_LOG_INTERVAL: Duration = 1.seconds

/**
 * Orders maintenance and moves of machines while this process owns the fleet.
 *
 * The machines whose maintenance was ordered in a wave are recorded in the progress topic, so that a new owner does not
 * drain them again.
 */
internal class MachineLoop(
    private val node: NodeComponents,
    private val settings: NodeSettings,
    private val fleet: FleetTable,
    private val epoch: Long,
    private val appendRecord: (String, ByteArray) -> Unit,
) {
    private val clock = node.clock
    private val progress = mutableMapOf<Long, WaveProgress>()
    private val reported = mutableMapOf<Long, Boolean>()
    private var emptying = emptySet<String>()
    private val recentMoves = mutableMapOf<String, Instant>()
    private val sizing =
        SizingPolicy(
            maximumMovesPerPlan =
                (settings.machineOrderRate * MACHINE_CHECK_PAUSE.toDouble(DurationUnit.SECONDS) * MOVE_RATE_SHARE)
                    .toInt()
                    .coerceAtLeast(1),
        )

    /** Orders that end an executor, until the list of machines shows whether they have. */
    private val openOrders = mutableMapOf<ExecutorIdentifier, OpenOrder>()
    private var surplusSince = emptyMap<String, Instant>()
    private var loadLoggedAt = Instant.DISTANT_PAST

    /** Plans and sends orders until the coroutine is cancelled. */
    suspend fun run() {
        val client = node.machines ?: return
        awaitExecutors()
        while (true) {
            val view = fleet.withSchedule { it.fleetView(clock.now(), clock.wallTime()) }
            logLoad(view)
            client.machines()?.associateBy { it.name }?.let { machines ->
                settleOrders(machines)
                maintainMachines(client, machines, view)
                resizePools(client, machines, view)
            }
            delay(MACHINE_CHECK_PAUSE)
        }
    }

    /** Removes the executors that orders have ended, and gives back those that a confirmed order has not ended. */
    private fun settleOrders(machines: Map<String, Machine>) {
        val now = clock.now()
        for ((executor, order) in openOrders.toMap()) {
            when (settlementOf(order, executor, machines[order.machine], now)) {
                OrderSettlement.Open -> Unit
                OrderSettlement.Ended -> {
                    openOrders -= executor
                    fleet.withSchedule { it.removeExecutor(executor, now) }
                }
                OrderSettlement.WithoutEffect -> {
                    openOrders -= executor
                    logger.info { "machines: order was executed before, executor=$executor goes on epoch=$epoch" }
                }
            }
        }
    }

    /** Waits until the executors have answered; before that, every machine would appear to be lost. */
    private suspend fun awaitExecutors() {
        repeat((LONGEST_FIRST_EXECUTOR_WAIT / FIRST_EXECUTOR_CHECK_PAUSE).toInt()) {
            delay(FIRST_EXECUTOR_CHECK_PAUSE)
            if (fleet.withSchedule { it.allExecutorsAnswered() }) return
        }
    }

    private fun logLoad(view: FleetView) {
        val now = clock.now()
        if (now - loadLoggedAt < LOAD_LOG_INTERVAL) return
        loadLoggedAt = now
        val pools =
            view.pools.values.joinToString(" ") {
                "${it.pool}=${it.inUse.processor / 1000}/${it.capacity.processor / 1000}" +
                    "+${it.waiting.processor / 1000}~${it.arriving.processor / 1000}"
            }
        logger.info { "machines: load used/capacity+waiting~arriving cores $pools" }
    }

    private suspend fun maintainMachines(client: MachinesClient, machines: Map<String, Machine>, view: FleetView) {
        val empty = mutableSetOf<String>()
        for (knownWave in node.configuration.waves()) {
            val wave = knownWave.wave
            if (reported[wave.number] == true) continue
            val current = progress
                .getOrPut(
                    wave.number,
                ) { recorded(WaveProgress(wave, knownWave.seenAt)) }
                .copy(wave = wave)
            val loads = { machine: Machine -> loadOf(machine, view) }
            val now = clock.now()
            val decision = planMaintenance(current, emptying, machines, loads, settings.maintenanceTime, now)
            empty += decision.empty
            progress[wave.number] = current
            if (decision.completed) {
                reportStatus(wave.number, completed = true)
                continue
            }
            reportStatus(wave.number, completed = false)
            retire(empty, machines)
            for (machine in decision.maintain) {
                val due = machines.getValue(machine)
                val reserved = due.executor?.let { executor ->
                    fleet.withSchedule { it.reserveForMaintenance(executor) }
                }
                val remaining = remainingOrderTime()
                if (reserved != false && remaining > Duration.ZERO) {
                    orderMaintenance(client, wave.number, due, remaining)
                }
            }
        }
        retire(empty, machines)
    }

    private fun recorded(initial: WaveProgress): WaveProgress =
        initial.copy(maintained = node.maintained.of(initial.wave.number))

    private fun loadOf(machine: Machine, view: FleetView): MachineLoad? {
        val load = machine.executor?.let { view.executors[it] } ?: return null
        return MachineLoad(load.batchRuns, load.longRuns)
    }

    private fun retire(names: Set<String>, machines: Map<String, Machine>) {
        emptying = names
        val executors = names.mapNotNullTo(mutableSetOf()) { machines[it]?.executor }
        executors += openOrders.keys
        fleet.withSchedule { it.retire(executors) }
    }

    /** Returns the time for which this process may still give orders. */
    private fun remainingOrderTime(): Duration = clock.reading().let { node.ownership.ordersUntil(it) - it.monotonic }

    private suspend fun orderMaintenance(client: MachinesClient, wave: Long, machine: Machine, within: Duration) {
        val orderedAt = clock.now()
        val outcome = client.maintain(machine.name, wave, epoch, within)
        logger.info { "machines: maintenance machine=${machine.name} wave=$wave epoch=$epoch outcome=$outcome" }
        val current = progress.getValue(wave)
        progress[wave] =
            when (outcome) {
                MachineOutcome.Done -> {
                    recordOpenOrder(machine, orderedAt, confirmed = true)
                    val done = current.maintained + machine.name
                    appendRecord(MaintainedMachines.key(wave), MaintainedMachines.encode(done))
                    current.copy(maintained = done, orders = current.orders + confirmedOrder(machine, orderedAt))
                }
                is MachineOutcome.Unknown ->
                    current.copy(
                        orders = current.orders + (machine.name to MaintenanceOrder(machine.name, orderedAt, false)),
                    )
                else -> current
            }
    }

    private suspend fun resizePools(client: MachinesClient, machines: Map<String, Machine>, view: FleetView) {
        val now = clock.now()
        val evacuated = node.configuration.evacuatedZones()
        recentMoves.values.removeIf { now - it > settings.moveTime + EXECUTOR_JOIN_TIME }
        val demands = view.pools.values.map {
            PoolDemand(
                it.pool,
                it.inUse,
                it.waiting,
                it.arriving,
                it.minimumExecutors,
                it.standby,
            )
        }
        val standby = demands.filter { it.standby }.map { it.pool }.toSet()
        // Without the live list, every machine would appear to be lost.
        if (view.executors.isEmpty()) return
        val availabilities = machines.values.map { availabilityOf(it, it.pool in standby, view, evacuated) }
        val plan = planPoolSizes(demands, availabilities, surplusSince, sizing, now)
        surplusSince = plan.surplusSince
        orderMoves(client, plan)
    }

    private fun availabilityOf(
        machine: Machine,
        standby: Boolean,
        view: FleetView,
        evacuatedZones: Set<String>,
    ): MachineAvailability {
        val load = machine.executor?.let { view.executors[it] }
        val evacuated = machine.zone in evacuatedZones
        val available = machine.zone !in view.silentZones && machine.name !in emptying
        val onItsWay = isArriving(machine, standby, load)
        // An executor that is not in the live list after the join time is cut off or lost.
        val usable = available && !evacuated && (onItsWay || machine.state == MachineState.Up && load?.usable == true)
        val idle =
            load == null && standby || load != null && load.batchRuns == 0 && load.longRuns == 0 && !load.draining
        val movable = available && !onItsWay && machine.state == MachineState.Up && idle
        return MachineAvailability(machine, usable, movable, evacuated)
    }

    /** Tells whether a machine is being moved to its pool. Standby machines have no executor that could join. */
    private fun isArriving(machine: Machine, standby: Boolean, load: ExecutorLoad?): Boolean {
        val movedAt = recentMoves[machine.name]
        val joining = movedAt != null && (clock.now() - movedAt < settings.moveTime || !standby && load == null)
        return machine.state == MachineState.Moving || joining
    }

    /** Orders all moves concurrently; in sequence, the last of a burst would wait for the answers to all others. */
    private suspend fun orderMoves(client: MachinesClient, plan: SizingPlan) =
        coroutineScope {
            plan.moves
                .filter { move ->
                    val executor = move.machine.executor
                    // The scheduler may have placed work on the executor since the plan was made.
                    remainingOrderTime() > Duration.ZERO &&
                        (executor == null || fleet.withSchedule { it.reserveForMove(executor) })
                }.map { move ->
                    async { move to client.move(move.machine.name, move.pool, epoch, remainingOrderTime()) }
                }.awaitAll()
                .forEach { (move, outcome) -> handleMoveOutcome(move, outcome, plan.wanted) }
        }

    private fun handleMoveOutcome(move: MachineMove, outcome: MachineOutcome, wanted: Map<String, Int>) {
        val machine = move.machine
        logger.info {
            "machines: move machine=${machine.name} from=${machine.pool} to=${move.pool} epoch=$epoch " +
                "wanted=${wanted[move.pool]} outcome=$outcome"
        }
        when (outcome) {
            MachineOutcome.Done -> {
                recentMoves[machine.name] = clock.now()
                recordOpenOrder(machine, clock.now(), confirmed = true)
            }
            is MachineOutcome.Unknown -> recordOpenOrder(machine, clock.now(), confirmed = false)
            else -> Unit
        }
    }

    private fun recordOpenOrder(machine: Machine, at: Instant, confirmed: Boolean) {
        machine.executor?.let { openOrders[it] = OpenOrder(machine.name, at, confirmed) }
    }

    private fun confirmedOrder(machine: Machine, at: Instant): Pair<String, MaintenanceOrder> =
        machine.name to MaintenanceOrder(machine.name, at, true)

    private suspend fun reportStatus(wave: Long, completed: Boolean) {
        if (reported[wave] == completed) return
        val outcome = node.store.append(Topic.Status, listOf(waveStatus(wave, completed)))
        logger.info { "machines: wave=$wave completed=$completed outcome=$outcome" }
        if (outcome is AppendOutcome.Appended) reported[wave] = completed
    }
}
