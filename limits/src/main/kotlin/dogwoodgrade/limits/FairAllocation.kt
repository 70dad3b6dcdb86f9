package dogwoodgrade.limits

/**
 * Divides the permits of a team among its members.
 *
 * Arguments: the permits to divide, the floor per member, the demand per member, and the index of the member that gets
 * the first permit of a remainder. Returns the targets in the order of the demands; their sum is at most the permits.
 */
public typealias TargetRule = (capacity: Int, floor: Int, demands: List<Int>, first: Int) -> List<Int>

/**
 * Divides [capacity] by max-min fairness: no member gets more than its demand, and none can get more without taking
 * from a member that has no more than it. A remainder goes to single members, starting at index [first].
 */
public fun maxMinAllocation(capacity: Int, demands: List<Int>, first: Int = 0): List<Int> {
    val given = IntArray(demands.size)
    var left = capacity
    var unsatisfied = demands.indices.map { (it + first) % demands.size }.filter { demands[it] > 0 }
    while (left > 0 && unsatisfied.isNotEmpty()) {
        val each = left / unsatisfied.size
        if (each == 0) {
            unsatisfied.take(left).forEach { given[it]++ }
            break
        }
        for (index in unsatisfied) {
            val step = minOf(each, demands[index] - given[index])
            given[index] += step
            left -= step
        }
        unsatisfied = unsatisfied.filter { given[it] < demands[it] }
    }
    return given.asList()
}

/**
 * Serves demand first and fills idle members up to the floor with what is left. Demand at a single member reaches the
 * whole capacity; the price is that an idle member holds less than the floor while others need everything.
 */
public fun demandFirstTargets(capacity: Int, floor: Int, demands: List<Int>, first: Int): List<Int> {
    val base = maxMinAllocation(capacity, demands, first)
    val idle = maxMinAllocation(capacity - base.sum(), base.map { (floor - it).coerceAtLeast(0) })
    return base.zip(idle, Int::plus)
}

/**
 * Gives every member the floor first and divides the rest by demand. An idle member can always serve at once; the
 * price is that up to half of the limit stays unused while the demand is at a single member.
 */
public fun floorFirstTargets(capacity: Int, floor: Int, demands: List<Int>, first: Int): List<Int> {
    val base = maxMinAllocation(capacity, demands.map { floor })
    val rest = demands.zip(base) { demand, given -> (demand - given).coerceAtLeast(0) }
    return base.zip(maxMinAllocation(capacity - base.sum(), rest, first), Int::plus)
}
