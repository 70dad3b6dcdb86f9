package dogwoodgrade.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How a member looks from here. Suspicion and absence are never evidence that its process has ended. */
public enum class Liveness {
    /** The heartbeat advanced within the last [SuspectedAfter]. */
    Alive,

    /** The heartbeat has not advanced for [SuspectedAfter]. */
    Suspected,

    /** The heartbeat has not advanced for [AbsentAfter]. */
    Absent,
}

/** Time without progress after which a member is suspected: three of its heartbeats. */
public val SuspectedAfter: Duration = 3.seconds

/** Time without progress after which a member is absent. */
public val AbsentAfter: Duration = 10.seconds

/** Returns the state of a member whose heartbeat last advanced [sinceProgress] ago. */
public fun livenessOf(sinceProgress: Duration): Liveness =
    when {
        sinceProgress >= AbsentAfter -> Liveness.Absent
        sinceProgress >= SuspectedAfter -> Liveness.Suspected
        else -> Liveness.Alive
    }
