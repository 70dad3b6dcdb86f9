package dogwoodgrade.scheduling

import kotlin.time.Duration

/**
 * A job queue as configured by the operators.
 *
 * @property priority 0 is the most urgent; a more urgent queue may preempt a less urgent one
 * @property attempts number of failed runs of one task after which its job fails
 * @property slackFactor multiple of its critical path within which a job is expected to complete
 * @property targetLatency time that is added to that multiple
 * @property needsAdvice whether a step may run only on executors that an advisory service allows
 */
public data class JobQueueSettings(
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
 * @property standby whether its machines are switched off
 */
public data class PoolSettings(
    public val name: String,
    public val standby: Boolean,
)

/**
 * A team, one customer of the fleet.
 *
 * @property weight relative share of the fleet when all of it is in use, and jobs per second that it is entitled to
 * @property cap maximum resources of its running tasks; 0 in a dimension means no limit
 */
public data class TeamSettings(
    public val name: String,
    public val weight: Double,
    public val cap: Resources,
)

/** The part of the configuration that scheduling depends on. */
public data class SchedulingConfiguration(
    public val version: Long = 0,
    public val queues: Map<String, JobQueueSettings> = emptyMap(),
    public val pools: Map<String, PoolSettings> = emptyMap(),
    public val teams: Map<String, TeamSettings> = emptyMap(),
)
