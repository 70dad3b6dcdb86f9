package dogwoodgrade.node

/**
 * Number of jobs of a queue of which no task has been started, and what it was counted from.
 *
 * @property known number of jobs of the queue in the table, whatever their state
 * @property fromSummary whether the table is filled from the summary
 * @property complete whether the table has all jobs that were accepted before [readTo]
 * @property readTo offset in the jobs topic up to which the table has been filled
 */
internal data class PendingCount(
    val pending: Int,
    val known: Int,
    val fromSummary: Boolean,
    val complete: Boolean,
    val readTo: Long,
) {
    override fun toString(): String =
        "count=$pending jobs=$known summary=$fromSummary complete=$complete read_to=$readTo"
}
