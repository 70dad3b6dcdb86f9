package dogwoodgrade.entry

import dogwoodgrade.model.ResultCode
import dogwoodgrade.routing.Reservation
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Longest difference between the clocks of entries and workers; a task lease counts as over only after it. */
internal val ClockSkew: Duration = 1.seconds

/**
 * What the dispatcher needs from the rest of the process.
 *
 * @property send makes an attempt, see [EndpointClient.send]
 * @property later posts an event after a delay
 * @property demandChanged tells that more or fewer permits may be wanted
 * @property refused reports a refusal at admission to the metrics
 * @property ended reports the end of a call to the metrics
 */
internal data class DispatcherPorts(
    val now: () -> Instant,
    val random: Random,
    val send: (Call, Reservation, mayStart: () -> Boolean, ended: (AttemptEnd) -> Unit) -> Unit,
    val later: (Duration, EntryEvent) -> Unit,
    val post: (EntryEvent) -> Unit,
    val demandChanged: () -> Unit,
    val ended: (Call, ResultCode, Instant) -> Unit,
    val started: (Call, Instant) -> Unit,
    val refused: (ResultCode) -> Unit,
)
