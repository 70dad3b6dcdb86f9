package dogwoodgrade.routing

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.RequestClass
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val START = Instant.fromEpochSeconds(1_000_000)
internal val POOL = PoolName("scans")
internal val ZONES = listOf("a", "b", "c").map(::AvailabilityZone)

/** Endpoint `e<number>`; zones are assigned in rotation. */
internal fun endpoint(number: Int, slots: Int = 2): Endpoint {
    val zone = ZONES[number % ZONES.size]
    val address = "10.0.0.$number:8080"
    return Endpoint(InstanceName("e$number"), POOL, zone, RackName("rack-$number"), address, slots, slots)
}

internal fun configurationOf(count: Int, slots: Int = 2): EndpointConfiguration =
    EndpointConfiguration(List(count) { endpoint(it, slots) })

internal fun request(
    tried: Set<InstanceName> = emptySet(),
    requestClass: RequestClass = RequestClass.Urgent,
    fingerprint: RequestFingerprint? = null,
    leaseUntil: Instant = START + 10.minutes,
): ReservationRequest = ReservationRequest(POOL, ZONES[0], requestClass, 1, leaseUntil, tried, fingerprint)

/** A table with [count] endpoints and a virtual clock that tests advance. */
internal class TableFixture(private val count: Int, slots: Int = 2, choice: EndpointChoice = ::powerOfTwoChoices) {
    val table = EndpointTable(choice).apply { configure(configurationOf(count, slots), START) }
    val random = Random(17)
    var now = START

    fun reserve(request: ReservationRequest = request()): Reservation? =
        (table.reserve(request, now, random) as? ReservationResult.Reserved)?.reservation

    fun reasonOf(request: ReservationRequest = request()): UnavailableReason? =
        (table.reserve(request, now, random) as? ReservationResult.Unavailable)?.reason

    fun finish(reservation: Reservation, result: AttemptResult): Boolean = table.finish(reservation, result, now)

    /** Makes one attempt at endpoint `e<number>`; returns `null` if it receives no work now. */
    fun attempt(number: Int, result: AttemptResult, fingerprint: RequestFingerprint? = null): Reservation? {
        val others = (0 until count).filter { it != number }.map { InstanceName("e$it") }.toSet()
        return reserve(request(tried = others, fingerprint = fingerprint))?.also { finish(it, result) }
    }

    fun conditionOf(number: Int): EndpointCondition =
        table.statusOf(POOL, now).single { it.endpoint.instance.text == "e$number" }.condition

    fun advance(secondsLater: Double) {
        now += secondsLater.seconds
    }
}
