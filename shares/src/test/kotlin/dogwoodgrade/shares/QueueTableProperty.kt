package dogwoodgrade.shares

import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ResultCode
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
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against lost and duplicated requests, queues above their bound, and a changed order within a queue. */
class QueueTableProperty {
    class Model {
        val table = QueueTable(QueueSettings(BOUND))
        val waiting = LinkedHashMap<RequestIdentifier, WaitingRequest>()
        val running = LinkedHashMap<RequestIdentifier, WaitingRequest>()
        val returned = HashSet<RequestIdentifier>()
        var now = 0L
        var number = 0
        var putBacks = 0

        fun leave(identifier: RequestIdentifier) {
            waiting.remove(identifier) ?: error("$identifier was not waiting")
            assertTrue(returned.add(identifier) || identifier in running, "$identifier was returned twice")
        }

        fun check() {
            assertEquals(waiting.size, table.counts().sumOf { it.waiting })
            table.counts().forEach { assertTrue(it.waiting <= BOUND + putBacks, "$it is above its bound") }
        }
    }

    private fun action(name: String, step: Model.(Random) -> Unit): Action.Independent<Model> =
        object : Action.Independent<Model> {
            override fun transformer(): Arbitrary<Transformer<Model>> =
                Arbitraries.integers().map { seed ->
                    Transformer.mutate(name) { model ->
                        model.now += 7
                        model.step(Random(seed))
                        model.check()
                    }
                }
        }

    private val offer = action("offer") { random ->
        val owner = listOf(team("a"), team("b"), QueueOwner.Open).random(random)
        val identifier = RequestIdentifier("r${number++}")
        val request =
            WaitingRequest(
                identifier,
                TEST_POOL,
                owner,
                RequestClass.entries.random(random),
                at(now),
                at(now + random.nextLong(1, 400)),
            )
        val length = waiting.values.count { it.owner == owner && it.requestClass == request.requestClass }
        when (val result = table.offer(request, at(now))) {
            OfferResult.Queued -> waiting[identifier] = request.also { assertTrue(length < BOUND) }
            is OfferResult.Refused ->
                assertTrue(result.refusal.code == ResultCode.DeadlineTooShort || length >= BOUND, "$result")
        }
    }

    private val take = action("take") { random ->
        val free = FreeSlots(random.nextInt(2), random.nextInt(1, 3))
        val result = table.takeNext(TEST_POOL, at(now), free) { it.text == "a" || random.nextBoolean() }
        result.refusals.forEach { leave(it.identifier) }
        val started = result.started ?: return@action
        assertTrue(started.deadline >= at(now), "${started.identifier} starts after its deadline")
        val first = waiting.values.first { it.owner == started.owner && it.requestClass == started.requestClass }
        assertEquals(first, started, "order within a queue")
        waiting.remove(started.identifier)
        running[started.identifier] = started
    }

    private val requeue = action("put back") { random ->
        val request = running.values.randomOrNull(random) ?: return@action
        running.remove(request.identifier)
        assertEquals(OfferResult.Queued, table.requeue(request.identifier, at(now)))
        val others = LinkedHashMap(waiting)
        waiting.clear()
        waiting[request.identifier] = request
        waiting += others
        putBacks++
    }

    private val cancel = action("cancel") { random ->
        val request = waiting.values.randomOrNull(random) ?: return@action
        assertEquals(request, table.cancel(request.identifier, at(now)))
        assertNull(table.cancel(request.identifier, at(now)))
        leave(request.identifier)
    }

    private val end = action("end") { random ->
        val request = running.values.randomOrNull(random) ?: return@action
        assertTrue(table.end(request.identifier, RunEnd.entries.random(random), at(now)))
        running.remove(request.identifier)
        assertTrue(returned.add(request.identifier), "${request.identifier} was returned twice")
    }

    private val expire = action("expire") { _ ->
        table.expire(at(now)).forEach { leave(it.identifier) }
        assertTrue(waiting.values.all { it.deadline >= at(now) })
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<Model>> =
        ActionChain
            .startWith { Model() }
            .withAction(6, offer)
            .withAction(3, take)
            .withAction(1, requeue)
            .withAction(1, cancel)
            .withAction(2, end)
            .withAction(1, expire)
            .withMaxTransformations(200)

    @Property(seed = "5", tries = 200)
    fun `each request is returned once, in order, and queues keep their bounds`(
        @ForAll("chains") chain: ActionChain<Model>,
    ) {
        val model = chain.run()
        model.table.drain(at(model.now)).forEach { model.leave(it.identifier) }
        assertTrue(model.waiting.isEmpty(), "lost: ${model.waiting.keys}")
    }

    private companion object {
        const val BOUND = 4
    }
}
