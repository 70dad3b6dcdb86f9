package dogwoodgrade.capacity

import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.Resources
import kotlin.time.Duration

/** What a machine is doing. */
public enum class MachineState { Up, Moving, Maintenance, Down }

/**
 * A machine that carries an executor.
 *
 * @property executor its present executor, or `null` while it has none
 */
public data class Machine(
    public val name: String,
    public val pool: String,
    public val state: MachineState,
    public val zone: String,
    public val executor: ExecutorIdentifier?,
    public val capacity: Resources = Resources.None,
)

/**
 * Machines that are due for maintenance.
 *
 * @property duration time from the request until each of them has had it
 * @property machinesAtOnce most that may be down for it at the same time
 */
public data class MaintenanceWave(
    public val number: Long,
    public val machines: List<String>,
    public val duration: Duration,
    public val machinesAtOnce: Int,
)
