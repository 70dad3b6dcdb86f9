package dogwoodgrade.scheduling

import kotlin.time.Duration.Companion.milliseconds

/** Returns a configuration with one queue, one pool and one team. A [cap] of 0 means that the team has no limit. */
internal fun onePoolConfiguration(attempts: Int, cap: Long = 0): SchedulingConfiguration =
    SchedulingConfiguration(
        1,
        mapOf("queue" to JobQueueSettings("queue", "pool", 0, attempts, 2.0, 500.milliseconds, false)),
        mapOf("pool" to PoolSettings("pool", standby = false)),
        mapOf("team" to TeamSettings("team", 10.0, Resources(cap, 0))),
    )

/** Returns the report of an executor of that pool. */
internal fun sampleReport(name: String, incarnation: Long = 1): ExecutorReport =
    ExecutorReport(
        ExecutorIdentifier(name),
        incarnation,
        "pool",
        "10.0.0.1:80",
        "zone-$name",
        false,
        Resources(16_000, 64_000),
        listOf("kind", "rack-1"),
    )
