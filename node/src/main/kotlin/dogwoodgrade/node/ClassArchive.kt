package dogwoodgrade.node

import dogwoodgrade.ownership.OwnershipRecord
import dogwoodgrade.platform.sampleNodeSettings
import dogwoodgrade.platform.sampleOperatorRecord
import dogwoodgrade.scheduling.Job
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.JobProgress
import dogwoodgrade.scheduling.Resources
import dogwoodgrade.scheduling.Scheduler
import dogwoodgrade.scheduling.SchedulingPolicy
import dogwoodgrade.scheduling.Step
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time after the start in which the process loads the classes to archive. */
private val CLASS_LOADING_TIME: Duration = 2.seconds

/** Argument with which the build runs the program once to create a class archive, which makes later starts faster. */
internal const val ARCHIVE_ARGUMENT: String = "--archive-classes"

/** Loads the classes that a start uses, on loopback and without a platform; the JVM archives them at exit. */
internal fun loadClassesForArchive() {
    val settings = sampleNodeSettings(freePort(), freePort())
    val node = Node(settings, Vertx.vertx(), CoroutineScope(SupervisorJob() + Dispatchers.Default))
    runBlocking {
        node.start()
        useRecords()
        delay(CLASS_LOADING_TIME)
    }
}

private fun useRecords() {
    sampleOperatorRecord()
    val now = Instant.fromEpochMilliseconds(0)
    val identifier = JobIdentifier("archive")
    val job = Job(identifier, "queue", "pool", null, "", listOf(Step(1, Resources(1, 1))), null, now)
    FleetRecords.decodeJob(identifier, FleetRecords.encode(job))
    FleetRecords.decodeProgress(FleetRecords.encode(ProgressPart(JobProgress())))
    FleetRecords.decodeOwner(FleetRecords.encode(OwnershipRecord(1, "archive", "", false)))
    val scheduler = Scheduler(SchedulingPolicy()) { 1 }
    scheduler.accept(job, null, now, now)
    scheduler.plan(now, now, now + CLASS_LOADING_TIME, emptySet())
    scheduler.takeChanges(now)
}

private fun freePort(): Int = ServerSocket(0).use { it.localPort }
