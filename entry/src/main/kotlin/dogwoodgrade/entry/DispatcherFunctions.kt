package dogwoodgrade.entry

import dogwoodgrade.model.ResultCode
import dogwoodgrade.routing.Reservation
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Largest difference between the clocks of entries and workers; a task lease counts as expired only after it. */
internal val MAX_WORKER_CLOCK_SKEW: Duration = 1.seconds

/**
 * Functions of the process that the dispatcher uses.
 *
 * @property send makes an attempt at an endpoint, see [EndpointClient.send]
 * @property postLater posts an event after a delay
 * @property onDemandChanged called when the number of permits that the entry needs may have changed
 * @property recordEnd reports the end of a call to the metrics
 * @property recordStart reports the start of a call to the metrics
 * @property recordRefusal reports a refusal at admission to the metrics
 */
internal data class DispatcherFunctions(
    val now: () -> Instant,
    val random: Random,
    val send: (Call, Reservation, mayStart: () -> Boolean, onEnd: (AttemptEnd) -> Unit) -> Unit,
    val postLater: (Duration, EntryEvent) -> Unit,
    val post: (EntryEvent) -> Unit,
    val onDemandChanged: () -> Unit,
    val recordEnd: (Call, ResultCode, Instant) -> Unit,
    val recordStart: (Call, Instant) -> Unit,
    val recordRefusal: (ResultCode) -> Unit,
)
