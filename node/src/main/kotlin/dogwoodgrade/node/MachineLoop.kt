package dogwoodgrade.node

import dogwoodgrade.platform.NodeSettings
import kotlinx.coroutines.awaitCancellation

/** Orders maintenance and moves of machines while this process owns the fleet. */
internal class MachineLoop(
    private val node: NodeParts,
    private val settings: NodeSettings,
    private val fleet: FleetTable,
    private val epoch: Long,
) {
    suspend fun run() {
        awaitCancellation()
    }
}
