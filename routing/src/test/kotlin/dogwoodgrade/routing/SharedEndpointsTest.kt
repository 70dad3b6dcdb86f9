package dogwoodgrade.routing

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.TeamName
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Four entries share six endpoints with four slots each in virtual time; each entry learns the load of the others by
 * gossip, every second and 300 ms late. Endpoint `e0` fails every request after 1 ms.
 */
class SharedEndpointsTest {
    @Test
    fun `power of two choices does more work with fewer busy refusals than round-robin while an endpoint fails`() {
        for ((perSecond, seed) in listOf(140 to 11, 140 to 12, 140 to 13, 180 to 11, 180 to 12, 180 to 13)) {
            val powerOfTwo = Simulation(perSecond, seed) { ::powerOfTwoChoices }.run()
            val roundRobin = Simulation(perSecond, seed) { roundRobinChoice() }.run()
            println("$perSecond requests/s, seed $seed: power of two choices $powerOfTwo, round-robin $roundRobin")
            assertTrue(powerOfTwo.done > roundRobin.done, "work done at $perSecond/s")
            assertTrue(powerOfTwo.busy < roundRobin.busy, "busy refusals at $perSecond/s")
            // Four entries each start five requests before the ejection and three probes within 30 s.
            assertTrue(powerOfTwo.failedAttempts <= 4 * (MIN_STARTS + 3), "failures at $perSecond/s")
        }
    }

    private data class Totals(val arrived: Int, val done: Int, val busy: Int, val failedAttempts: Int)

    private data class Work(val deadline: Duration, val runTime: Duration, val tried: Set<InstanceName> = emptySet())

    private data class Event(val time: Duration, val number: Int, val run: () -> Unit)

    private class Simulation(private val perSecond: Int, seed: Int, choice: () -> EndpointChoice) {
        private val random = Random(seed)
        private val tables = List(4) { EndpointTable(choice()).apply { configure(configurationOf(6, 4), START) } }
        private val budgets = List(4) { RetryBudgetTable() }
        private val running = HashMap<InstanceName, Int>()
        private val events = PriorityQueue<Event>(compareBy(Event::time, Event::number))
        private val team = TeamName("atelier")
        private val failing = endpoint(0).instance
        private var time = Duration.ZERO
        private var scheduled = 0
        private var totals = Totals(0, 0, 0, 0)

        fun run(): Totals {
            var arrival = Duration.ZERO
            while (arrival < 30.seconds) {
                arrival += 1.seconds / perSecond * -ln(1 - random.nextDouble())
                val entry = random.nextInt(tables.size)
                val work = Work(arrival + 2.seconds, 100.milliseconds * -ln(1 - random.nextDouble()))
                at(arrival) { arrive(entry, work) }
            }
            for (second in 1..32) for (entry in tables.indices) at(second.seconds) { gossip(entry) }
            while (true) {
                val event = events.poll() ?: return totals
                time = event.time
                event.run()
            }
        }

        private fun arrive(entry: Int, work: Work) {
            totals = totals.copy(arrived = totals.arrived + 1)
            budgets[entry].recordRequest(team, START + time)
            attempt(entry, work)
        }

        private fun attempt(entry: Int, work: Work) {
            val zone = ZONES[entry % ZONES.size]
            val request = request(work.tried, RequestClass.Normal).copy(ownZone = zone)
            when (val result = tables[entry].reserve(request, START + time, random)) {
                is ReservationResult.Reserved -> send(entry, work, result.reservation)
                // The request waits in the entry's queue; a refusal here is not an attempt.
                is ReservationResult.Unavailable ->
                    if (time + RETRY_INTERVAL < work.deadline) at(time + RETRY_INTERVAL) { attempt(entry, work) }
            }
        }

        private fun send(entry: Int, work: Work, reservation: Reservation) {
            val instance = reservation.endpoint.instance
            val busy = (running[instance] ?: 0) >= reservation.endpoint.slots
            val (result, duration) = when {
                instance == failing -> AttemptResult.FailedBeforeHead to 1.milliseconds
                busy -> AttemptResult.Busy to 1.milliseconds
                else -> AttemptResult.Complete(200) to work.runTime
            }
            if (result is AttemptResult.Complete) running.merge(instance, 1, Int::plus)
            at(time + duration) {
                if (result is AttemptResult.Complete) running.merge(instance, -1, Int::plus)
                end(entry, work, reservation, result)
            }
        }

        private fun end(entry: Int, work: Work, reservation: Reservation, result: AttemptResult) {
            val now = START + time
            tables[entry].finish(reservation, result, now)
            totals = when (result) {
                is AttemptResult.Complete -> totals.copy(done = totals.done + 1)
                AttemptResult.Busy -> totals.copy(busy = totals.busy + 1)
                else -> totals.copy(failedAttempts = totals.failedAttempts + 1)
            }
            val tried = work.tried + reservation.endpoint.instance
            val facts = RequestFacts(true, START + work.deadline, tried.size, false, mayHaveRun = failing in work.tried)
            val budget = if (wantsRetry(facts, result, now)) budgets[entry].takeRetry(team, now) else null
            val decision = decideAfterAttempt(facts, result, budget ?: RetryBudgetAnswer.Exhausted, now, random)
            if (decision is AttemptDecision.Retry) {
                at(time + decision.backoff) { attempt(entry, work.copy(tried = tried)) }
            }
        }

        private fun gossip(entry: Int) {
            val loads = tables[entry].ownLoad(START + time)
            val delay = 300.milliseconds
            at(time + delay) {
                for (other in tables.indices.filter { it != entry }) {
                    val sender = EntryIdentity(EntryName("entry-$entry"), 1)
                    tables[other].reportPeerLoad(sender, loads, delay, START + time)
                }
            }
        }

        private fun at(moment: Duration, run: () -> Unit) {
            events += Event(moment, scheduled++, run)
        }
    }

    private companion object {
        /** Time after which a waiting request is tried again. */
        val RETRY_INTERVAL = 10.milliseconds
    }
}
