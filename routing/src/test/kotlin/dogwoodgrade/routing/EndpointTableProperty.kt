package dogwoodgrade.routing

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Runs random operations on one table and checks after each step the rules that must always hold. */
class EndpointTableProperty {
    @Property(seed = "7", tries = 400)
    fun `no sequence of operations violates the rules of choice, slots and ejection`(
        @ForAll("histories") chain: ActionChain<History>,
    ) {
        chain.run()
    }

    @Provide
    fun histories(): Arbitrary<ActionChain<History>> =
        ActionChain
            .startWith(::History)
            .withAction(8, step(0..63) { reserve(it) })
            .withAction(8, step(0..255) { finish(it) })
            .withAction(3, step(1..4000) { now += it.milliseconds })
            .withAction(1, step(0..255) { observe(it) })
            .withAction(1, step(0..255) { configure(it) })
            .withAction(1, step(0..255) { reportPeer(it) })
            .withMaxTransformations(120)

    private fun step(range: IntRange, run: History.(Int) -> Unit): Action.Independent<History> =
        Action.Independent {
            Arbitraries.integers().between(range.first, range.last).map { seed ->
                Transformer.mutate("step $seed") { history ->
                    history.run(seed)
                    history.check()
                }
            }
        }

    class History {
        private val table = EndpointTable()
        private val unfinished = mutableListOf<Reservation>()
        private var leaving = emptySet<InstanceName>()
        private var configuration = configurationOf(ENDPOINTS)
        private val random = Random(1)
        var now: Instant = START

        init {
            table.configure(configuration, now)
        }

        fun reserve(seed: Int) {
            val tried = chosenBy(seed)
            val result = table.reserve(request(tried), now, random)
            if (result is ReservationResult.Reserved) {
                val endpoint = result.reservation.endpoint
                assertTrue(endpoint in configuration.endpoints && endpoint.zone !in configuration.zonesOutOfService)
                assertTrue(endpoint.instance !in leaving && endpoint.instance !in tried)
                assertTrue(table.mayStart(result.reservation))
                unfinished += result.reservation
            }
        }

        fun finish(seed: Int) {
            if (unfinished.isEmpty()) return
            assertTrue(table.finish(unfinished.removeAt(seed % unfinished.size), RESULTS[seed % RESULTS.size], now))
        }

        fun observe(seed: Int) {
            val names = configuration.endpoints.map(Endpoint::instance).toSet()
            leaving = names.intersect(chosenBy(seed))
            table.observeLive(LiveObservation(names - leaving, leaving), now)
        }

        fun configure(seed: Int) {
            val out = ZONES.filterIndexed { index, _ -> seed shr index and 3 == 3 }.toSet<AvailabilityZone>()
            val returned = (ZONES - out).associateWith { now }
            val endpoints = List(ENDPOINTS) { endpoint(it) }.filter { it.instance !in chosenBy(seed and seed / 2) }
            configuration = EndpointConfiguration(endpoints, out, returned)
            table.configure(configuration, now)
        }

        fun reportPeer(seed: Int) {
            val loads = chosenBy(seed).associateWith { 1 + seed % 2 }
            table.reportPeerLoad(EntryIdentity(EntryName("peer"), 1), loads, seed.milliseconds, now)
        }

        fun check() {
            val held = unfinished.groupingBy { it.endpoint.instance }.eachCount()
            for (number in 0 until ENDPOINTS) {
                val instance = endpoint(number).instance
                val inFlight = table.drainState(instance, now).inFlight
                assertEquals(held[instance] ?: 0, inFlight, "$instance")
                assertTrue(inFlight <= endpoint(number).slots, "$instance has $inFlight requests in flight")
            }
            val status = table.statusOf(POOL, now)
            assertTrue(status.count { it.condition == EndpointCondition.Ejected } * 2 <= status.size, "$status")
        }

        private fun chosenBy(bits: Int): Set<InstanceName> =
            (0 until ENDPOINTS).filter { bits shr it and 1 == 1 }.map { endpoint(it).instance }.toSet()
    }

    private companion object {
        const val ENDPOINTS = 6
        val RESULTS = listOf(
            AttemptResult.Complete(200),
            AttemptResult.Complete(500),
            AttemptResult.FailedBeforeHead,
            AttemptResult.Truncated,
            AttemptResult.TimedOut,
            AttemptResult.Busy,
            AttemptResult.ConnectionRefused,
        )
    }
}
