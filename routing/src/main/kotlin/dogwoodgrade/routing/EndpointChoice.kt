package dogwoodgrade.routing

import dogwoodgrade.model.InstanceName
import kotlin.random.Random

/**
 * An endpoint that may receive the next request.
 *
 * @property load requests known to be in flight from all entries plus recent failures, relative to the slots; the
 * endpoint seems full at 1 or more
 */
public data class EndpointCandidate(
    public val instance: InstanceName,
    public val inOwnZone: Boolean,
    public val load: Double,
)

/**
 * Chooses one of the candidates, which are never empty and sorted by instance name. [EndpointTable] calls it under its
 * lock, so a policy with state needs no lock of its own and must not call another table.
 */
public typealias EndpointChoice = (candidates: List<EndpointCandidate>, random: Random) -> EndpointCandidate

/**
 * Power of two choices: returns the less loaded of two candidates drawn at random. Prefers the own zone while it has
 * free slots, then other zones with free slots, then endpoints that seem full according to peers.
 */
public fun powerOfTwoChoices(candidates: List<EndpointCandidate>, random: Random): EndpointCandidate {
    val free = candidates.filter { it.load < 1 }
    val preferred = free.filter(EndpointCandidate::inOwnZone).ifEmpty { free }.ifEmpty { candidates }
    if (preferred.size == 1) return preferred.single()
    val first = random.nextInt(preferred.size)
    val second = (first + 1 + random.nextInt(preferred.size - 1)) % preferred.size
    return if (preferred[second].load < preferred[first].load) preferred[second] else preferred[first]
}

/** Returns a round-robin policy over one pool, regardless of load and zone; a baseline for comparisons. */
public fun roundRobinChoice(): EndpointChoice {
    var last: InstanceName? = null
    return { candidates, _ ->
        val previous = last
        val chosen = candidates.firstOrNull { previous == null || it.instance > previous } ?: candidates.first()
        last = chosen.instance
        chosen
    }
}
