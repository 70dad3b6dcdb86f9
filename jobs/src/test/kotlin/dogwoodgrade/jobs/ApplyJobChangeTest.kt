package dogwoodgrade.jobs

import dogwoodgrade.jobs.JobChange.Accept
import dogwoodgrade.jobs.JobChange.Checkpoint
import dogwoodgrade.jobs.JobChange.EndEntry
import dogwoodgrade.model.ResultCode
import kotlin.io.encoding.Base64
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ApplyJobChangeTest {
    private val waiting = JobLedger.Empty.accept(Accept(request("j")))
    private val claimed = waiting.accept(claim("j", 1))
    private val finished = claimed.accept(finish("j", 1))

    @Test
    fun `every invalid record is refused with its code`() {
        val unknown = claimed.accept(EndEntry(entry(1)))
        val tooLarge = Base64.encode(ByteArray(JobRequest.MAX_BODY_BYTES + 1))
        val cases =
            listOf(
                Triple(waiting, Accept(request("j")), ResultCode.AlreadyExists),
                Triple(finished, Accept(request("j")), ResultCode.AlreadyExists),
                Triple(waiting, Accept(request("k").copy(body = tooLarge)), ResultCode.JobTooLarge),
                Triple(waiting, Accept(request("k").copy(body = "?")), ResultCode.InvalidValue),
                Triple(waiting, claim("k", 1), ResultCode.UnknownJob),
                Triple(claimed, claim("j", 2), ResultCode.JobAlreadyClaimed),
                Triple(claimed, claim("j", 1), ResultCode.StateUnchanged),
                Triple(claimed, finish("j", 2), ResultCode.NotClaimHolder),
                Triple(waiting, finish("j", 1), ResultCode.NotClaimHolder),
                Triple(claimed, Checkpoint(JobRequestIdentifier("j"), entry(2), ""), ResultCode.NotClaimHolder),
                Triple(claimed, finish("j", 1).copy(status = 7), ResultCode.InvalidValue),
                Triple(
                    claimed,
                    finish("j", 1).copy(result = SAMPLE_RESULT.copy(body = tooLarge)),
                    ResultCode.JobTooLarge,
                ),
                Triple(claimed, cancel("j"), ResultCode.JobAlreadyClaimed),
                Triple(waiting, cancel("j", team = "other"), ResultCode.UnknownJob),
                Triple(finished, claim("j", 2), ResultCode.JobAlreadyFinished),
                Triple(waiting.accept(cancel("j")), claim("j", 1), ResultCode.JobCancelled),
                Triple(unknown, claim("j", 2), ResultCode.JobOutcomeUnknown),
                Triple(unknown, finish("j", 1), ResultCode.JobOutcomeUnknown),
            )
        for ((ledger, change, code) in cases) assertRefused(code, ledger.apply(change))
    }

    @Test
    fun `an idempotent job of an ended entry keeps its checkpoint and is claimed again`() {
        val ledger =
            JobLedger.Empty.accept(
                Accept(request("j", idempotent = true)),
                claim("j", 1),
                Checkpoint(JobRequestIdentifier("j"), entry(1), "c3RlcDI="),
                EndEntry(entry(1)),
            )
        assertNull(ledger.unfinished.getValue(JobRequestIdentifier("j")).claim)
        assertEquals(
            "c3RlcDI=",
            ledger
                .accept(claim("j", 2))
                .unfinished
                .getValue(JobRequestIdentifier("j"))
                .checkpoint,
        )
    }

    @Test
    fun `only the incarnation that ended loses its claims`() {
        assertEquals(claimed, claimed.accept(EndEntry(entry(1, incarnation = 2))))
    }

    @Test
    fun `a stopped idempotent job is cancelled when its entry ends`() {
        val ledger = JobLedger.Empty.accept(Accept(request("j", idempotent = true)), claim("j", 1))
        val stopped = ledger.accept(cancel("j", requestStop = true))
        assertRefused(ResultCode.StateUnchanged, stopped.apply(cancel("j", requestStop = true)))
        assertEquals(
            JobEnding.Cancelled,
            stopped
                .accept(EndEntry(entry(1)))
                .ended
                .getValue(JobRequestIdentifier("j"))
                .ending,
        )
    }

    @Test
    fun `an idempotent job that ends its entries is not claimed forever`() {
        val start = JobLedger.Empty.accept(Accept(request("j", idempotent = true)))
        val ledger =
            (1..JobLedger.MAX_CLAIMS).fold(start) { ledger, number ->
                ledger.accept(claim("j", number), EndEntry(entry(number)))
            }
        assertTrue(ledger.ended.getValue(JobRequestIdentifier("j")).ending is JobEnding.OutcomeUnknown)
    }

    @Test
    fun `a team with too many jobs is refused while another team is accepted`() {
        val full =
            (1..JobLedger.MAX_UNFINISHED_PER_TEAM).fold(JobLedger.Empty) { ledger, number ->
                ledger.accept(Accept(request("j$number")))
            }
        assertRefused(ResultCode.TooManyJobs, full.apply(Accept(request("one-more"))))
        full.accept(Accept(request("one-more", team = "other")))
    }

    @Test
    fun `the burst of one team does not remove the result of another`() {
        val other = JobLedger.Empty.accept(Accept(request("kept", team = "other")), claim("kept", 1), finish("kept", 1))
        val ledger =
            (1..JobLedger.MAX_ENDED).fold(other) { ledger, number ->
                ledger.accept(Accept(request("j$number")), claim("j$number", 1), finish("j$number", 1))
            }
        assertTrue(ledger.ended.size in JobLedger.ENDED_AFTER_REMOVAL..JobLedger.MAX_ENDED)
        assertTrue(JobRequestIdentifier("kept") in ledger.ended)
        assertTrue(JobRequestIdentifier("j1") !in ledger.ended)
    }
}
