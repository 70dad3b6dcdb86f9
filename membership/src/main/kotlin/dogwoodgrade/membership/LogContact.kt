package dogwoodgrade.membership

import dogwoodgrade.model.Offset
import kotlin.time.Duration

/**
 * What an entry knows of the control stream: the offset of its folded state, and the [age] of its last confirmed
 * contact with the head of the log, or `null` if it has had none.
 */
public data class LogContact(
    public val appliedOffset: Offset,
    public val age: Duration?,
)
