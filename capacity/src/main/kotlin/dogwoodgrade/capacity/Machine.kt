package dogwoodgrade.capacity

import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.Resources
import kotlin.time.Duration

/** State of a machine. */
public enum class MachineState { Up, Moving, Maintenance, Down }

/**
 * A machine of the fleet.
 *
 * @property executor executor that runs on it, or `null` if there is none
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
 * @property duration time from the request within which all of them are to be maintained
 * @property machinesAtOnce maximum number of machines that may be down for it at the same time
 */
public data class MaintenanceWave(
    public val number: Long,
    public val machines: List<String>,
    public val duration: Duration,
    public val machinesAtOnce: Int,
)
