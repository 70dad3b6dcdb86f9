package dogwoodgrade.codec

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.ControlBody.ChangeJob
import dogwoodgrade.control.ControlBody.Configure
import dogwoodgrade.control.JoinedEntry
import dogwoodgrade.jobs.JobChange
import dogwoodgrade.jobs.JobIdentifier
import dogwoodgrade.jobs.JobRequest
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

internal val sampleEntry = EntryIdentity(EntryName("entry-a1"), 7)
private val team = TeamName("team")
private val instance = InstanceName("i1")
private val job = JobIdentifier("job-1")

/** One body of every kind, in an order in which each is accepted by an empty state. */
internal fun sampleBodies(): List<ControlBody> =
    listOf(ControlBody.JoinEntry(JoinedEntry(sampleEntry, AvailabilityZone("a"), "127.0.0.1:1", "127.0.0.1:2", 2))) +
        configurationChanges().map(::Configure) +
        ControlBody.ReportPermits(PermitReport(sampleEntry, 1, mapOf(team to PermitChange(0, 3, 5)))) +
        jobChanges().map(::ChangeJob) +
        ControlBody.EndEntry(sampleEntry, "connection refused") +
        ControlBody.ReclaimPermits(sampleEntry) +
        ControlBody.LeaveEntry(sampleEntry)

private fun configurationChanges(): List<ConfigurationChange> =
    listOf(
        ConfigurationChange.SetTeam(team, 2, 12, 30.seconds, Version.None),
        ConfigurationChange.GiveKey(team, KeyDigest.of("key")),
        ConfigurationChange.GiveKey(team, KeyDigest.of("other")),
        ConfigurationChange.WithdrawKey(team, KeyDigest.of("other")),
        ConfigurationChange.SetPool(PoolName("p"), ServiceName("s"), 8, 64, 30.seconds, 1, 1, true, Version.None),
        ConfigurationChange.SetPool(PoolName("q"), ServiceName("r"), 8, 64, 9.seconds, 1, 1, false, Version.None),
        ConfigurationChange.AddInstance(
            instance,
            "127.0.0.1:9000",
            AvailabilityZone("a"),
            RackName("r"),
            WorkerName("w"),
            PoolName("p"),
        ),
        ConfigurationChange.MoveInstance(instance, PoolName("p"), PoolName("q")),
        ConfigurationChange.DrainInstance(instance, "wave-1"),
        ConfigurationChange.ReturnInstance(instance, "wave-1", Instant.fromEpochMilliseconds(1_700_000_000_000)),
        ConfigurationChange.ObserveFailure(instance),
        ConfigurationChange.ObserveRecovery(instance),
        ConfigurationChange.SetZone(AvailabilityZone("a"), false, Version.None),
        ConfigurationChange.SetZone(AvailabilityZone("a"), true, Version(1)),
        ConfigurationChange.SetDocument(DocumentName("d"), 3, "{}", Version.None),
        ConfigurationChange.RemoveInstance(InstanceName("i2")),
    )

private fun jobChanges(): List<JobChange> =
    listOf(
        JobChange.Accept(request(job)),
        JobChange.Claim(job, sampleEntry),
        JobChange.Checkpoint(job, sampleEntry, "YWJj"),
        JobChange.Finish(job, sampleEntry, 200, JobResult("YWJj", "text/plain", truncated = true)),
        JobChange.Accept(request(JobIdentifier("job-2"))),
        JobChange.Cancel(JobIdentifier("job-2"), team, requestStop = true),
        JobChange.Accept(request(JobIdentifier("job-3"))),
        JobChange.Claim(JobIdentifier("job-3"), sampleEntry),
        JobChange.Accept(request(JobIdentifier("job-4"))),
    )

private fun request(identifier: JobIdentifier): JobRequest =
    JobRequest(
        identifier,
        team,
        PoolName("p"),
        ServiceName("s"),
        "scan?plate=1",
        RequestClass.Normal,
        idempotent = false,
        body = "YWJj",
        contentType = "text/plain",
    )
