package dogwoodgrade.codec

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.ControlBody.ChangeJob
import dogwoodgrade.control.ControlBody.Configure
import dogwoodgrade.control.JoinedEntry
import dogwoodgrade.jobs.JobChange
import dogwoodgrade.jobs.JobRequest
import dogwoodgrade.jobs.JobRequestIdentifier
import dogwoodgrade.jobs.JobResult
import dogwoodgrade.limits.PermitChange
import dogwoodgrade.limits.PermitReport
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val SAMPLE_ENTRY = EntryIdentity(EntryName("entry-a1"), 7)
private val SAMPLE_TEAM = TeamName("team")
private val SAMPLE_INSTANCE = InstanceName("i1")
private val SAMPLE_JOB = JobRequestIdentifier("job-1")

/** Returns bodies of every kind, in an order in which a state that starts empty accepts each of them. */
internal fun sampleBodies(): List<ControlBody> =
    listOf(ControlBody.JoinEntry(JoinedEntry(SAMPLE_ENTRY, AvailabilityZone("a"), "127.0.0.1:1", "127.0.0.1:2", 2))) +
        configurationChanges().map(::Configure) +
        ControlBody.ReportPermits(PermitReport(SAMPLE_ENTRY, 1, mapOf(SAMPLE_TEAM to PermitChange(0, 3, 5)))) +
        jobChanges().map(::ChangeJob) +
        ControlBody.EndEntry(SAMPLE_ENTRY, "connection refused") +
        ControlBody.ReclaimPermits(SAMPLE_ENTRY) +
        ControlBody.LeaveEntry(SAMPLE_ENTRY)

private fun configurationChanges(): List<ConfigurationChange> =
    listOf(
        ConfigurationChange.SetTeam(SAMPLE_TEAM, 2, 12, 30.seconds, Version.None),
        ConfigurationChange.GiveKey(SAMPLE_TEAM, KeyDigest.of("key")),
        ConfigurationChange.GiveKey(SAMPLE_TEAM, KeyDigest.of("other")),
        ConfigurationChange.WithdrawKey(SAMPLE_TEAM, KeyDigest.of("other")),
        ConfigurationChange.SetPool(PoolName("p"), ServiceName("s"), 8, 64, 30.seconds, 1, 1, true, Version.None),
        ConfigurationChange.SetPool(PoolName("q"), ServiceName("r"), 8, 64, 9.seconds, 1, 1, false, Version.None),
        ConfigurationChange.AddInstance(
            SAMPLE_INSTANCE,
            "127.0.0.1:9000",
            AvailabilityZone("a"),
            RackName("r"),
            WorkerName("w"),
            PoolName("p"),
        ),
        ConfigurationChange.MoveInstance(SAMPLE_INSTANCE, PoolName("p"), PoolName("q")),
        ConfigurationChange.DrainInstance(SAMPLE_INSTANCE, "wave-1"),
        ConfigurationChange.ReturnInstance(SAMPLE_INSTANCE, "wave-1", Instant.fromEpochMilliseconds(1_700_000_000_000)),
        ConfigurationChange.ObserveFailure(SAMPLE_INSTANCE),
        ConfigurationChange.ObserveRecovery(SAMPLE_INSTANCE),
        ConfigurationChange.SetZone(AvailabilityZone("a"), false, Version.None),
        ConfigurationChange.SetZone(AvailabilityZone("a"), true, Version(1)),
        ConfigurationChange.SetDocument(DocumentName("d"), 3, "{}", Version.None),
        ConfigurationChange.RemoveInstance(InstanceName("i2")),
    )

private fun jobChanges(): List<JobChange> =
    listOf(
        JobChange.Accept(request(SAMPLE_JOB)),
        JobChange.Claim(SAMPLE_JOB, SAMPLE_ENTRY),
        JobChange.Checkpoint(SAMPLE_JOB, SAMPLE_ENTRY, "YWJj"),
        JobChange.Finish(SAMPLE_JOB, SAMPLE_ENTRY, 200, JobResult("YWJj", "text/plain", truncated = true)),
        JobChange.Accept(request(JobRequestIdentifier("job-2"))),
        JobChange.Cancel(JobRequestIdentifier("job-2"), SAMPLE_TEAM, requestStop = true),
        JobChange.Accept(request(JobRequestIdentifier("job-3"))),
        JobChange.Claim(JobRequestIdentifier("job-3"), SAMPLE_ENTRY),
        JobChange.Accept(request(JobRequestIdentifier("job-4"))),
    )

private fun request(identifier: JobRequestIdentifier): JobRequest =
    JobRequest(
        identifier,
        SAMPLE_TEAM,
        PoolName("p"),
        ServiceName("s"),
        "scan?plate=1",
        RequestClass.Normal,
        idempotent = false,
        body = "YWJj",
        contentType = "text/plain",
    )
