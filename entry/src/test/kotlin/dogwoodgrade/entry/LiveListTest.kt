package dogwoodgrade.entry

import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.routing.EndpointConfiguration
import dogwoodgrade.routing.EndpointTable
import dogwoodgrade.routing.LiveObservation
import dogwoodgrade.routing.ReservationRequest
import dogwoodgrade.routing.ReservationResult
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests that faults of the platform's live list affect only which instances get new work. */
class LiveListTest {
    private val now = Instant.fromEpochSeconds(1_000)
    private val one = reservationOf(1).endpoint
    private val endpoints = listOf(one, one.copy(instance = InstanceName("i2")))

    /** Returns the reading, or `null` if it cannot be parsed; the watcher does not pass such a reading on. */
    private fun read(text: String): LiveObservation? = runCatching { parseLiveList(text) }.getOrNull()

    private fun list(vararg states: Pair<String, String>): String =
        states.joinToString(
            ",",
            """{"instances":[""",
            "]}",
        ) { (name, state) -> """{"name":"$name","state":"$state"}""" }

    private fun used(readings: List<String>): Set<String> {
        val table = EndpointTable()
        table.configure(EndpointConfiguration(endpoints), now)
        readings.mapNotNull(::read).forEach { table.observeLive(it, now) }
        val request = ReservationRequest(PRICING, ZONE_A, RequestClass.Normal, 0, now + 5.seconds)
        val random = Random(1)
        return List(8) { table.reserve(request, now, random) }
            .filterIsInstance<ReservationResult.Reserved>()
            .map { it.reservation.endpoint.instance.text }
            .toSet()
    }

    @Test
    fun `a lagging, flapping, missing or unreadable list sends no work to a leaving instance and stops no other`() {
        val live = list("i1" to "live", "i2" to "live")
        val leaving = list("i1" to "leaving", "i2" to "live")
        val rows =
            mapOf(
                listOf(live) to setOf("i1", "i2"),
                listOf(live, leaving) to setOf("i2"),
                listOf(leaving, list("i2" to "live")) to setOf("i2"),
                listOf(leaving, list()) to setOf("i2"),
                listOf(leaving, live, leaving) to setOf("i2"),
                listOf(leaving, live) to setOf("i1", "i2"),
                listOf(leaving, "garbage") to setOf("i2"),
                listOf(leaving, "{}") to setOf("i2"),
                listOf(leaving, """{"instances":[7,{},{"name":5},{"name":"i2","state":"asleep"}]}""") to setOf("i2"),
                listOf(list()) to setOf("i1", "i2"),
                listOf(list("i1" to "live")) to setOf("i1"),
                listOf(list("other" to "leaving", "i1" to "live", "i2" to "live")) to setOf("i1", "i2"),
            )
        for ((readings, expected) in rows) assertEquals(expected, used(readings), "$readings")
    }
}
