package dogwoodgrade.scheduling

import kotlin.time.Duration

/**
 * A queue as the operators configure it.
 *
 * @property priority 0 is the most urgent; a more urgent queue may preempt a less urgent one
 * @property attempts failed runs of one task after which its job fails
 * @property slackFactor factor on a job's longest chain within which it is expected to complete
 * @property targetLatency time beyond that chain within which a job is expected to complete
 * @property needsAdvice executors are allowed for each step by an advisory service
 */
public data class QueueSettings(
    public val name: String,
    public val pool: String,
    public val priority: Int,
    public val attempts: Int,
    public val slackFactor: Double,
    public val targetLatency: Duration,
    public val needsAdvice: Boolean,
)

/**
 * A pool of executors.
 *
 * @property standby its machines are switched off
 */
public data class PoolSettings(
    public val name: String,
    public val standby: Boolean,
)

/**
 * A team.
 *
 * @property weight share of the fleet when all is in use; also the jobs a second that it is entitled to
 * @property cap most that it may have running; 0 in a dimension means no limit
 */
public data class TeamSettings(
    public val name: String,
    public val weight: Double,
    public val cap: Resources,
)

/** The part of the configuration that scheduling depends on. */
public data class SchedulingConfiguration(
    public val version: Long = 0,
    public val queues: Map<String, QueueSettings> = emptyMap(),
    public val pools: Map<String, PoolSettings> = emptyMap(),
    public val teams: Map<String, TeamSettings> = emptyMap(),
)
