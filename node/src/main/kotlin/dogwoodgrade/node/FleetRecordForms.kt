package dogwoodgrade.node

import dogwoodgrade.platform.LATEST_TIME
import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.ExecutorReport
import dogwoodgrade.scheduling.FailedRuns
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobProgress
import dogwoodgrade.scheduling.JobQueueSettings
import dogwoodgrade.scheduling.JobState
import dogwoodgrade.scheduling.Repetition
import dogwoodgrade.scheduling.Resources
import dogwoodgrade.scheduling.StartedRun
import dogwoodgrade.scheduling.Step
import dogwoodgrade.scheduling.TaskPosition
import dogwoodgrade.scheduling.isWithinLimits
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/*
 * JSON forms of the records in the platform's log, see [FleetRecords].
 */

@Serializable
internal data class ExecutorRecord(
    @SerialName("b") val incarnation: Long,
    @SerialName("p") val pool: String,
    @SerialName("a") val address: String,
    @SerialName("z") val zone: String,
    @SerialName("c") val capacity: List<Long>,
    @SerialName("l") val labels: List<String>,
) {
    fun toReport(identifier: ExecutorIdentifier): ExecutorReport {
        if (capacity.size != 3) throw SerializationException("capacity $capacity does not have 3 values")
        val resources = Resources(capacity[0], capacity[1], capacity[2])
        require(incarnation in 0..LATEST_TIME) { "the time $incarnation is out of range" }
        require(resources.isPlausible) { "capacity $capacity is out of range" }
        return ExecutorReport(identifier, incarnation, pool, address, zone, false, resources, labels)
    }

    companion object {
        fun of(report: ExecutorReport): ExecutorRecord {
            val resources = report.capacity
            val capacity = listOf(resources.processor, resources.memory, resources.accelerators)
            return ExecutorRecord(
                report.incarnation,
                report.pool,
                report.address,
                report.zone,
                capacity,
                report.labels,
            )
        }
    }
}

@Serializable
internal data class OwnerRecord(
    val epoch: Long,
    val owner: String,
    val incarnation: String,
    val resigned: Boolean = false,
    val capacity: Double = 0.0,
    val successor: String? = null,
)

@Serializable
internal data class HandoverRecord(
    val epoch: Long,
    val candidate: String,
)

@Serializable
internal data class JobRecord(
    @SerialName("q") val queue: String,
    @SerialName("p") val pool: String,
    @SerialName("t") val team: String? = null,
    @SerialName("x") val payload: String = "",
    @SerialName("a") val acceptedAt: Long,
    @SerialName("s") val steps: List<StepRecord>,
    @SerialName("r") val repetition: RepetitionRecord? = null,
    @SerialName("u") val queueSettings: QueueRecord? = null,
) {
    fun toJob(identifier: JobIdentifier): Job {
        val decodedSteps = steps.map { it.toStep() }
        val decodedRepetition = repetition?.toRepetition()
        require(isWithinLimits(decodedSteps, decodedRepetition)) { "the job is beyond the limits" }
        require(acceptedAt in 0..LATEST_TIME) { "the time $acceptedAt is out of range" }
        val accepted = Instant.fromEpochMilliseconds(acceptedAt)
        val settings = queueSettings?.toSettings(queue, pool)
        return Job(identifier, queue, pool, team, payload, decodedSteps, decodedRepetition, accepted, settings)
    }

    companion object {
        fun of(job: Job): JobRecord =
            JobRecord(
                job.queue,
                job.pool,
                job.team,
                job.payload,
                job.acceptedAt.toEpochMilliseconds(),
                job.steps.map { StepRecord.of(it) },
                job.repetition?.let {
                    RepetitionRecord(it.occurrences, it.start.toEpochMilliseconds(), it.interval.inWholeMilliseconds)
                },
                job.queueSettings?.let { QueueRecord.of(it) },
            )
    }
}

/** Settings of a job's queue when the job was accepted. */
@Serializable
internal data class QueueRecord(
    @SerialName("n") val attempts: Int,
    @SerialName("p") val priority: Int = 0,
    @SerialName("s") val slackFactor: Double = 1.0,
    @SerialName("t") val targetLatency: Long = 0,
    @SerialName("a") val needsAdvice: Boolean = false,
) {
    fun toSettings(queue: String, pool: String): JobQueueSettings {
        require(attempts >= 1) { "$attempts attempts" }
        require(slackFactor.isFinite()) { "the slack factor $slackFactor is out of range" }
        require(targetLatency in 0..LATEST_TIME) { "the target latency $targetLatency is out of range" }
        return JobQueueSettings(queue, pool, priority, attempts, slackFactor, targetLatency.milliseconds, needsAdvice)
    }

    companion object {
        fun of(settings: JobQueueSettings): QueueRecord =
            QueueRecord(
                settings.attempts,
                settings.priority,
                settings.slackFactor,
                settings.targetLatency.inWholeMilliseconds,
                settings.needsAdvice,
            )
    }
}

@Serializable
internal data class RepetitionRecord(
    val occurrences: Int,
    val start: Long,
    val interval: Long,
) {
    fun toRepetition(): Repetition {
        require(start in 0..LATEST_TIME) { "the time $start is out of range" }
        return Repetition(occurrences, Instant.fromEpochMilliseconds(start), interval.milliseconds)
    }
}

@Serializable
internal data class StepRecord(
    @SerialName("n") val count: Int,
    @SerialName("c") val processor: Long = 0,
    @SerialName("m") val memory: Long = 0,
    @SerialName("g") val accelerators: Long = 0,
    @SerialName("e") val estimate: Long = 0,
    @SerialName("d") val dependencies: List<Int> = emptyList(),
    @SerialName("k") val checkpoints: Boolean = false,
    @SerialName("gang") val gang: Boolean = false,
    @SerialName("rl") val rackLocal: Boolean = false,
    @SerialName("l") val requiredLabel: String? = null,
    @SerialName("pr") val preferredRack: String? = null,
    @SerialName("pe") val tasksPerExecutor: Int = 0,
    @SerialName("long") val longRunning: Boolean = false,
    @SerialName("i") val image: String? = null,
    @SerialName("tl") val targetLatency: Long? = null,
    @SerialName("sp") val usesSpareCapacity: Boolean = false,
    @SerialName("b") val unavailabilityBudget: Int = 0,
    @SerialName("copies") val speculative: Boolean = false,
) {
    fun toStep(): Step =
        Step(
            count,
            Resources(processor, memory, accelerators),
            estimate.milliseconds,
            dependencies,
            checkpoints,
            gang,
            rackLocal,
            requiredLabel,
            preferredRack,
            tasksPerExecutor,
            longRunning,
            image,
            targetLatency?.milliseconds,
            usesSpareCapacity,
            unavailabilityBudget,
            speculative,
        )

    companion object {
        fun of(step: Step): StepRecord =
            StepRecord(
                step.count,
                step.request.processor,
                step.request.memory,
                step.request.accelerators,
                step.estimate.inWholeMilliseconds,
                step.dependencies,
                step.checkpoints,
                step.gang,
                step.rackLocal,
                step.requiredLabel,
                step.preferredRack,
                step.tasksPerExecutor,
                step.longRunning,
                step.image,
                step.targetLatency?.inWholeMilliseconds,
                step.usesSpareCapacity,
                step.unavailabilityBudget,
                step.speculative,
            )
    }
}

/** A part of a job's progress. Positions are encoded as `occurrence.step.index`, started runs as `run@executor`. */
@Serializable
internal data class ProgressRecord(
    @SerialName("s") val state: JobState,
    @SerialName("d") val completed: List<String> = emptyList(),
    @SerialName("f") val failures: Map<String, List<Long>> = emptyMap(),
    @SerialName("c") val checkpoints: Map<String, String> = emptyMap(),
    @SerialName("r") val started: Map<String, String> = emptyMap(),
    @SerialName("a") val abandoned: Map<String, String> = emptyMap(),
    @SerialName("e") val earlierFailures: Map<String, Int> = emptyMap(),
    @SerialName("p") val furtherParts: Int = 0,
) {
    fun toPart(): ProgressPart {
        if (furtherParts < 0) throw SerializationException("$furtherParts further parts")
        return ProgressPart(toProgress(), furtherParts)
    }

    private fun toProgress(): JobProgress =
        JobProgress(
            state,
            completed.mapTo(mutableSetOf()) { position(it) },
            failures.entries.associate { (key, value) ->
                val earlier = (earlierFailures[key] ?: 0).coerceAtLeast(0)
                position(key) to FailedRuns.of(value.toSet(), earlier)
            },
            checkpoints.mapKeys { (key, _) -> position(key) },
            started.entries.associate { (key, value) -> position(key) to startedRun(value) },
            abandoned.entries.associate { (key, value) -> position(key) to startedRun(value) },
        )

    companion object {
        fun of(part: ProgressPart): ProgressRecord {
            val progress = part.progress
            return ProgressRecord(
                progress.state,
                progress.completed.map { text(it) },
                progress.failures.entries.associate { (key, value) -> text(key) to value.numbers.toList() },
                progress.checkpoints.mapKeys { (key, _) -> text(key) },
                progress.started.entries.associate { (key, value) -> text(key) to text(value) },
                progress.abandoned.entries.associate { (key, value) -> text(key) to text(value) },
                progress.failures
                    .filterValues { it.earlier > 0 }
                    .entries
                    .associate { (key, value) -> text(key) to value.earlier },
                part.furtherParts,
            )
        }

        private fun text(run: StartedRun) = "${run.run}@${run.executor}"

        private fun text(position: TaskPosition) = "${position.occurrence}.${position.step}.${position.index}"

        private fun startedRun(text: String): StartedRun {
            val run = text.substringBefore('@').toLongOrNull() ?: throw SerializationException("invalid run \"$text\"")
            return StartedRun(ExecutorIdentifier(text.substringAfter('@')), run)
        }

        private fun position(text: String): TaskPosition {
            val numbers =
                text.split('.').map { it.toIntOrNull() ?: throw SerializationException("invalid position \"$text\"") }
            if (numbers.size != 3) throw SerializationException("position \"$text\" has ${numbers.size} of 3 parts")
            return TaskPosition(numbers[0], numbers[1], numbers[2])
        }
    }
}
