package dogwoodgrade.limits

/**
 * Divides the permits of a team among the members, which are the live entries.
 *
 * Arguments: the permits to divide, the minimum per member, the demand per member, and the index of the member that
 * gets the first permit of a remainder. Returns the target per member in the order of the demands; the sum of the
 * targets is at most the number of permits to divide.
 */
public typealias TargetRule = (capacity: Int, floor: Int, demands: List<Int>, first: Int) -> List<Int>

/**
 * Divides [capacity] by max-min fairness: no member gets more than its demand, and none can get more without taking
 * from a member that has no more than it. A remainder is handed out one by one, starting at index [first].
 */
public fun maxMinAllocation(capacity: Int, demands: List<Int>, first: Int = 0): List<Int> {
    val allocated = IntArray(demands.size)
    var remaining = capacity
    var unsatisfied = demands.indices.map { (it + first) % demands.size }.filter { demands[it] > 0 }
    while (remaining > 0 && unsatisfied.isNotEmpty()) {
        val equalPart = remaining / unsatisfied.size
        if (equalPart == 0) {
            unsatisfied.take(remaining).forEach { allocated[it]++ }
            break
        }
        for (index in unsatisfied) {
            val increment = minOf(equalPart, demands[index] - allocated[index])
            allocated[index] += increment
            remaining -= increment
        }
        unsatisfied = unsatisfied.filter { allocated[it] < demands[it] }
    }
    return allocated.asList()
}

/**
 * Serves demand first and raises idle members to the floor with the rest. A single member with demand can use the
 * whole capacity; the cost is that idle members hold less than the floor while others need everything.
 */
public fun demandFirstTargets(capacity: Int, floor: Int, demands: List<Int>, first: Int): List<Int> {
    val base = maxMinAllocation(capacity, demands, first)
    val idle = maxMinAllocation(capacity - base.sum(), base.map { (floor - it).coerceAtLeast(0) })
    return base.zip(idle, Int::plus)
}

/**
 * Gives every member the floor first and divides the rest by demand. An idle member can start a task without waiting
 * for permits; the cost is that up to half of the limit stays unused while only one member has demand.
 */
public fun floorFirstTargets(capacity: Int, floor: Int, demands: List<Int>, first: Int): List<Int> {
    val base = maxMinAllocation(capacity, demands.map { floor })
    val rest = demands.zip(base) { demand, allocated -> (demand - allocated).coerceAtLeast(0) }
    return base.zip(maxMinAllocation(capacity - base.sum(), rest, first), Int::plus)
}
