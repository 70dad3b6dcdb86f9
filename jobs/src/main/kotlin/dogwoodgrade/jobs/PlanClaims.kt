package dogwoodgrade.jobs

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.TeamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * What one entry knows when it plans its claims.
 *
 * @property entry the entry that plans
 * @property live entries that this entry believes to be alive; a wrong list costs a refused claim or a delay, never a
 * second run
 * @property waitingSince when this entry first saw each claimable job, from [updateWaitingSince]; local, so that
 * clocks of different entries are never compared
 * @property freeSlots number of further tasks that the entry would start in a pool now
 * @property mayStart whether the team may start one more task when the given number has been planned already
 * @property pending jobs for which a claim of this entry is on its way
 * @property maximum largest number of claims to propose
 */
public data class ClaimSituation(
    public val entry: EntryIdentity,
    public val live: Collection<EntryIdentity>,
    public val waitingSince: Map<JobIdentifier, Instant>,
    public val freeSlots: (PoolName) -> Int,
    public val mayStart: (team: TeamName, planned: Int) -> Boolean,
    public val pending: Set<JobIdentifier> = emptySet(),
    public val maximum: Int = 16,
)

/** Chooses the jobs that an entry claims next. */
public typealias ClaimPlanner = (ledger: JobLedger, situation: ClaimSituation, now: Instant) -> List<JobChange.Claim>

/**
 * Time after which the next entry in a job's order may claim it. Above the time from an append to its fold, so that a
 * claim on its way is usually seen in time.
 */
public val ClaimStep: Duration = 1_000.milliseconds

/** The same for urgent jobs; [MAX_CLAIM_STEPS] steps stay below the 1.6 s within which urgent work starts. */
public val UrgentClaimStep: Duration = 400.milliseconds

/** Number of steps after which every live entry may claim a job; bounds the wait when preferred entries are gone. */
public const val MAX_CLAIM_STEPS: Int = 3

/**
 * Proposes the claims of one entry.
 *
 * Rendezvous hashing orders the live entries for each job. The first may claim at once, the next one after a
 * step, and so on; after [MAX_CLAIM_STEPS] steps every entry may. Urgent jobs come first; within a class the teams
 * take turns, and each team's jobs go in the order of acceptance.
 */
public fun planClaims(ledger: JobLedger, situation: ClaimSituation, now: Instant): List<JobChange.Claim> {
    val positions = HashMap<Pair<TeamName, RequestClass>, Int>()
    val turns =
        ledger.unfinished.values
            .filter { it.claim == null }
            .sortedBy(Job::sequence)
            .filter { it.request.identifier !in situation.pending && mayClaim(it, situation, now) }
            .map { it to positions.merge(it.request.team to it.request.requestClass, 1, Int::plus) }
            .sortedWith(compareBy({ it.first.request.requestClass }, { it.second }, { it.first.sequence }))
    val perPool = HashMap<PoolName, Int>()
    val perTeam = HashMap<TeamName, Int>()
    val claims = ArrayList<JobChange.Claim>()
    for ((job, _) in turns) {
        if (claims.size >= situation.maximum) break
        val team = job.request.team
        val pool = job.request.pool
        val planned = perTeam[team] ?: 0
        val used = perPool[pool] ?: 0
        if (used >= situation.freeSlots(pool) || !situation.mayStart(team, planned)) continue
        perTeam[team] = planned + 1
        perPool[pool] = used + 1
        claims += JobChange.Claim(job.request.identifier, situation.entry)
    }
    return claims
}

/** Baseline of [planClaims]: every entry tries every job at once, in order of acceptance. */
public fun planEveryClaim(ledger: JobLedger, situation: ClaimSituation, now: Instant): List<JobChange.Claim> =
    planClaims(ledger, situation.copy(live = listOf(situation.entry)), now)

/**
 * Returns when each claimable job of [ledger] was first seen as claimable: as in [previous], or [now] for new ones.
 * A job that was claimed in between starts anew.
 */
public fun updateWaitingSince(
    previous: Map<JobIdentifier, Instant>,
    ledger: JobLedger,
    now: Instant,
): Map<JobIdentifier, Instant> =
    ledger.unfinished
        .filterValues { it.claim == null }
        .mapValues { (identifier, _) -> previous[identifier] ?: now }

private fun mayClaim(job: Job, situation: ClaimSituation, now: Instant): Boolean {
    val identifier = job.request.identifier
    val own = rendezvousWeight(identifier, situation.entry)
    val before =
        situation.live.count { other ->
            val weight = rendezvousWeight(identifier, other)
            weight > own || (weight == own && other > situation.entry)
        }
    val step = if (job.request.requestClass == RequestClass.Urgent) UrgentClaimStep else ClaimStep
    val since = situation.waitingSince[identifier] ?: now
    return now - since >= step * before.coerceAtMost(MAX_CLAIM_STEPS)
}

/** Pseudo-random weight of an entry for a job, the same in every process (FNV-1a with a final mix). */
private fun rendezvousWeight(job: JobIdentifier, entry: EntryIdentity): Long {
    var hash = -0x340d631b7bdddcdbL
    for (character in job.text) hash = (hash xor character.code.toLong()) * FNV_PRIME
    for (character in entry.name.text) hash = (hash xor character.code.toLong()) * FNV_PRIME
    hash = (hash xor entry.incarnation) * FNV_PRIME
    hash = (hash xor (hash ushr 32)) * -0x61c8864680b583ebL
    return hash xor (hash ushr 29)
}

private const val FNV_PRIME = 0x100000001b3L
