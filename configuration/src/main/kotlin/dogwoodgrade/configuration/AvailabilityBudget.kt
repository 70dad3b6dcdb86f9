package dogwoodgrade.configuration

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.ResultCode

/**
 * Checks whether planned work may take [instance] out of use.
 *
 * Instances that are draining, have failed or whose zone is out of service count as unavailable. An instance that is
 * already unavailable may be drained, because this does not reduce the capacity of the pool. Planned work of a pool is
 * limited to one availability zone at a time, so that it never adds to a failure in a second zone.
 */
public fun ConfigurationState.checkDrain(instance: Instance): Outcome<Unit> {
    if (!isUsable(instance)) return Success(Unit)
    val pool =
        pools[instance.pool] ?: return Failure(ResultCode.UnknownPool, "pool ${instance.pool} does not exist")
    val members = instancesOf(pool.name)
    val unavailable = members.count { !isUsable(it) } + 1
    val otherZone = members.firstOrNull { it.draining && it.zone != instance.zone && isInService(it.zone) }
    return when {
        unavailable > pool.availabilityBudget ->
            Failure(
                ResultCode.BudgetExceeded,
                "pool ${pool.name} would have $unavailable unavailable instances, above ${pool.availabilityBudget}",
            )
        otherZone != null ->
            Failure(
                ResultCode.BudgetExceeded,
                "pool ${pool.name} has planned work in zone ${otherZone.zone}; zone ${instance.zone} has to wait",
            )
        else -> Success(Unit)
    }
}

/**
 * Checks whether [instance] may move to pool [to].
 *
 * A usable instance may always move. An unavailable one counts against the budget of its new pool after the move;
 * without this check, a move that races with a drain could exceed that budget.
 */
public fun ConfigurationState.checkMove(instance: Instance, to: PoolName): Outcome<Unit> =
    when {
        isUsable(instance) -> Success(Unit)
        remainingBudget(to) > 0 && !instance.draining -> Success(Unit)
        else ->
            Failure(
                ResultCode.BudgetExceeded,
                "instance ${instance.name} is unavailable and pool $to has no budget for it",
            )
    }

/** Returns the number of further usable instances of [pool] that may be taken out of use now. */
public fun ConfigurationState.remainingBudget(pool: PoolName): Int {
    val budget = pools[pool]?.availabilityBudget ?: return 0
    return (budget - instancesOf(pool).count { !isUsable(it) }).coerceAtLeast(0)
}
