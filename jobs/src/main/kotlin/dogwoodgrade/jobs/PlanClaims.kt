package dogwoodgrade.jobs

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.TeamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Input of one entry for the planning of its claims.
 *
 * @property entry the entry that plans
 * @property live entries that this entry considers alive; a wrong list may cause a refused claim or a delay, but never
 * a second run
 * @property waitingSince time at which this entry first saw each claimable job, from [updateWaitingSince]; by this
 * entry's clock only, so that clocks of different entries are never compared
 * @property freeSlots number of further tasks that the entry could start in a pool now
 * @property mayStart whether the team may start one more task if the given number is planned already
 * @property pending jobs for which this entry has proposed a claim that is not folded yet
 * @property maximumClaims largest number of claims to propose
 */
public data class ClaimContext(
    public val entry: EntryIdentity,
    public val live: Collection<EntryIdentity>,
    public val waitingSince: Map<JobRequestIdentifier, Instant>,
    public val freeSlots: (PoolName) -> Int,
    public val mayStart: (team: TeamName, planned: Int) -> Boolean,
    public val pending: Set<JobRequestIdentifier> = emptySet(),
    public val maximumClaims: Int = 16,
)

/** Chooses the jobs that an entry claims next. */
public typealias ClaimPlanner = (ledger: JobLedger, situation: ClaimContext, now: Instant) -> List<JobChange.Claim>

/**
 * Time after which the next entry in a job's order may claim the job. It exceeds the usual time between the append of
 * a claim and its fold, so that competing claims are rare.
 */
public val CLAIM_STEP: Duration = 1_000.milliseconds

/** [CLAIM_STEP] of urgent jobs. [MAX_CLAIM_STEPS] steps are shorter than the 1.6 s within which urgent work starts. */
public val URGENT_CLAIM_STEP: Duration = 400.milliseconds

/** Number of steps after which any entry may claim a job; bounds the delay if preferred entries do not claim it. */
public const val MAX_CLAIM_STEPS: Int = 3

/**
 * Proposes the claims of one entry.
 *
 * Rendezvous hashing orders the live entries for each job. The first entry may claim the job at once, the next one
 * after one step, and so on; after [MAX_CLAIM_STEPS] steps every entry may claim it. Urgent jobs come first. Within a
 * class the teams take turns, and the jobs of a team are claimed in the order of acceptance.
 */
public fun planClaims(ledger: JobLedger, situation: ClaimContext, now: Instant): List<JobChange.Claim> {
    val positions = HashMap<Pair<TeamName, RequestClass>, Int>()
    val orderedJobs =
        ledger.unfinished.values
            .filter { it.claim == null }
            .sortedBy(UnfinishedJob::sequence)
            .filter { it.request.identifier !in situation.pending && mayClaim(it, situation, now) }
            .map { it to positions.merge(it.request.team to it.request.requestClass, 1, Int::plus) }
            .sortedWith(compareBy({ it.first.request.requestClass }, { it.second }, { it.first.sequence }))
    val plannedByPool = HashMap<PoolName, Int>()
    val plannedByTeam = HashMap<TeamName, Int>()
    val claims = ArrayList<JobChange.Claim>()
    for ((job, _) in orderedJobs) {
        if (claims.size >= situation.maximumClaims) break
        val team = job.request.team
        val pool = job.request.pool
        val planned = plannedByTeam[team] ?: 0
        val plannedInPool = plannedByPool[pool] ?: 0
        if (plannedInPool >= situation.freeSlots(pool) || !situation.mayStart(team, planned)) continue
        plannedByTeam[team] = planned + 1
        plannedByPool[pool] = plannedInPool + 1
        claims += JobChange.Claim(job.request.identifier, situation.entry)
    }
    return claims
}

/** Baseline for comparison with [planClaims]: every entry may claim every job at once. */
public fun planUncoordinatedClaims(ledger: JobLedger, situation: ClaimContext, now: Instant): List<JobChange.Claim> =
    planClaims(ledger, situation.copy(live = listOf(situation.entry)), now)

/**
 * Returns the time at which each claimable job of [ledger] was first seen: that in [previous], or [now] for new jobs.
 * A job that was claimed and released in the meantime counts as new, provided that a call saw it claimed.
 */
public fun updateWaitingSince(
    previous: Map<JobRequestIdentifier, Instant>,
    ledger: JobLedger,
    now: Instant,
): Map<JobRequestIdentifier, Instant> =
    ledger.unfinished
        .filterValues { it.claim == null }
        .mapValues { (identifier, _) -> previous[identifier] ?: now }

private fun mayClaim(job: UnfinishedJob, situation: ClaimContext, now: Instant): Boolean {
    val identifier = job.request.identifier
    val ownWeight = rendezvousWeight(identifier, situation.entry)
    val preceding =
        situation.live.count { other ->
            val weight = rendezvousWeight(identifier, other)
            weight > ownWeight || (weight == ownWeight && other > situation.entry)
        }
    val step = if (job.request.requestClass == RequestClass.Urgent) URGENT_CLAIM_STEP else CLAIM_STEP
    val since = situation.waitingSince[identifier] ?: now
    return now - since >= step * preceding.coerceAtMost(MAX_CLAIM_STEPS)
}

/** Returns a pseudo-random weight of [entry] for [job], the same in every process: FNV-1a with a final mixing step. */
private fun rendezvousWeight(job: JobRequestIdentifier, entry: EntryIdentity): Long {
    var hash = -0x340d631b7bdddcdbL
    for (character in job.text) hash = (hash xor character.code.toLong()) * FNV_PRIME
    for (character in entry.name.text) hash = (hash xor character.code.toLong()) * FNV_PRIME
    hash = (hash xor entry.incarnation) * FNV_PRIME
    hash = (hash xor (hash ushr 32)) * -0x61c8864680b583ebL
    return hash xor (hash ushr 29)
}

private const val FNV_PRIME = 0x100000001b3L
