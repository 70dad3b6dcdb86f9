package dogwoodgrade.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Liveness of a member as observed by this entry. Neither suspicion nor absence proves that its process has ended. */
public enum class Liveness {
    /** The heartbeat advanced within the last [SUSPECTED_AFTER]. */
    Alive,

    /** The heartbeat has not advanced for [SUSPECTED_AFTER]. */
    Suspected,

    /** The heartbeat has not advanced for [ABSENT_AFTER]. */
    Absent,
}

/** Time without a new heartbeat after which a member is suspected: three heartbeat intervals. */
public val SUSPECTED_AFTER: Duration = 3.seconds

/** Time without a new heartbeat after which a member is absent. */
public val ABSENT_AFTER: Duration = 10.seconds

/** Returns the liveness of a member whose heartbeat last advanced [sinceProgress] ago. */
public fun livenessOf(sinceProgress: Duration): Liveness =
    when {
        sinceProgress >= ABSENT_AFTER -> Liveness.Absent
        sinceProgress >= SUSPECTED_AFTER -> Liveness.Suspected
        else -> Liveness.Alive
    }
