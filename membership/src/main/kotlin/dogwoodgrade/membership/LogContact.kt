package dogwoodgrade.membership

import dogwoodgrade.model.Offset
import kotlin.time.Duration

/**
 * How up to date an entry's copy of the control stream is.
 *
 * @property appliedOffset offset of the entry's folded state
 * @property age age of the last confirmed contact with the head of the log, or `null` if there was none
 */
public data class LogContact(
    public val appliedOffset: Offset,
    public val age: Duration?,
)
