package dogwoodgrade.jobs

import dogwoodgrade.jobs.JobChange.Accept
import dogwoodgrade.jobs.JobChange.EndEntry
import dogwoodgrade.model.valueOrNull
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Random sequences of records from several entries, which may use an outdated ledger or end while they hold jobs. */
class JobLedgerProperty {
    @Property(seed = "20261204", tries = 200)
    fun `no job is lost and a non-idempotent job is claimed at most once`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val history = ArrayList(listOf(JobLedger.Empty))
        val accepted = HashMap<JobRequestIdentifier, JobRequest>()
        val claims = HashMap<JobRequestIdentifier, Int>()
        var incarnation = 1L
        repeat(120) { step ->
            val ledger = history.last()
            val stale = history[(history.size - 1 - random.nextInt(4)).coerceAtLeast(0)]
            val sender = entry(random.nextInt(4), 1 + random.nextLong(incarnation))
            val knownIdentifier = stale.unfinished.keys.randomOrNull(random) ?: JobRequestIdentifier("j0")
            val change =
                when (random.nextInt(8)) {
                    0, 1 -> Accept(request("j$step", idempotent = random.nextBoolean()))
                    2, 3 -> JobChange.Claim(knownIdentifier, sender)
                    4 -> JobChange.Finish(knownIdentifier, sender, 200, SAMPLE_RESULT)
                    5 -> cancel(knownIdentifier.text, requestStop = random.nextBoolean())
                    6 -> JobChange.Checkpoint(knownIdentifier, sender, "")
                    else -> EndEntry(sender).also { incarnation++ }
                }
            val next = ledger.apply(change).valueOrNull() ?: ledger
            if (next !== ledger && change is Accept) accepted[change.request.identifier] = change.request
            if (next !== ledger && change is JobChange.Claim) claims.merge(change.job, 1, Int::plus)
            history += next
            assertEquals(accepted.keys, next.unfinished.keys + next.ended.keys)
            assertTrue(next.unfinished.keys.none { it in next.ended })
            val jobs = next.unfinished.values
            assertEquals(jobs.groupingBy { it.request.team }.eachCount(), next.unfinishedByTeam)
            assertEquals(jobs.sumOf { it.request.body.length }, next.bodyCharacters)
        }
        for ((job, count) in claims) {
            assertTrue(
                count <= if (accepted.getValue(job).idempotent) JobLedger.MAX_CLAIMS else 1,
                "job $job was claimed $count times",
            )
        }
    }

    @Property(seed = "20261205", tries = 100)
    fun `planned claims finish every job although entries end`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        var live = (1..8).map { entry(it) }
        var ledger =
            (1..40).fold(JobLedger.Empty) { current, number ->
                current.accept(Accept(request("j$number", team = "t${number % 3}", idempotent = true)))
            }
        var waitingSince = emptyMap<JobRequestIdentifier, Instant>()
        var now = Instant.fromEpochSeconds(0)
        repeat(40) { round ->
            waitingSince = updateWaitingSince(waitingSince, ledger, now)
            for (member in live) {
                // Lists of live entries may be outdated: they still contain the entries that have ended.
                val situation = ClaimContext(member, (1..8).map { entry(it) }, waitingSince, { 8 }, { _, _ -> true })
                for (claim in planClaims(ledger, situation, now)) {
                    ledger = ledger.apply(claim).valueOrNull() ?: ledger
                }
            }
            if (round in 2..6) {
                val ended = live.random(random)
                live = live - ended
                ledger = ledger.accept(EndEntry(ended))
            }
            for (job in ledger.unfinished.values.filter { it.claim != null && random.nextInt(3) == 0 }) {
                val holder = requireNotNull(job.claim).holder
                ledger = ledger.accept(JobChange.Finish(job.request.identifier, holder, 200, SAMPLE_RESULT))
            }
            now += 500.milliseconds
        }
        assertTrue(ledger.unfinished.isEmpty(), "${ledger.unfinished.size} jobs are unfinished")
    }
}
