package dogwoodgrade.jobs

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.failureOrNull
import kotlin.test.assertEquals
import kotlin.test.fail

internal fun entry(number: Int, incarnation: Long = 1) = EntryIdentity(EntryName("entry-$number"), incarnation)

internal fun request(
    name: String,
    team: String = "curators",
    idempotent: Boolean = false,
    requestClass: RequestClass = RequestClass.Normal,
) = JobRequest(
    JobRequestIdentifier(name),
    TeamName(team),
    PoolName("stitch"),
    ServiceName("stitch"),
    "plates/7",
    requestClass,
    idempotent,
    "cGxhdGU=",
    "text/plain",
)

internal val SAMPLE_RESULT = JobResult("b2s=", "text/plain", truncated = false)

internal fun finish(name: String, holder: Int) =
    JobChange.Finish(JobRequestIdentifier(name), entry(holder), 200, SAMPLE_RESULT)

internal fun claim(name: String, holder: Int) = JobChange.Claim(JobRequestIdentifier(name), entry(holder))

internal fun cancel(name: String, requestStop: Boolean = false, team: String = "curators") =
    JobChange.Cancel(JobRequestIdentifier(name), TeamName(team), requestStop)

internal fun JobLedger.accept(vararg changes: JobChange): JobLedger =
    changes.fold(this) { ledger, change ->
        when (val outcome = ledger.apply(change)) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> fail("$change was refused: $outcome")
        }
    }

internal fun assertRefused(code: ResultCode, outcome: Outcome<*>) = assertEquals(code, outcome.failureOrNull()?.code)
