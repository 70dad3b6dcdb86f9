package dogwoodgrade.node

import dogwoodgrade.scheduling.ExecutorIdentifier
import dogwoodgrade.scheduling.JobIdentifier
import dogwoodgrade.scheduling.isWithinLimits
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Records of the log that a damaged or different version of this program has left. */
class OddLogRecordsTest {
    private val job = JobIdentifier("a1")
    private val executor = ExecutorIdentifier("i-27ce22ae36")

    private fun decodeAll(value: ByteArray) {
        FleetRecords.decodeJob(job, value)?.let { assertTrue(isWithinLimits(it.steps, it.repetition), "$it") }
        FleetRecords.decodeExecutor(executor, value)?.let { assertTrue(it.capacity.isPlausible, "$it") }
        FleetRecords.decodeOwner(value)?.let { assertTrue(it.epoch > 0, "$it") }
        FleetRecords.decodeHandover(value)?.let { assertTrue(it.epoch > 0, "$it") }
        FleetRecords.decodeProgress(value)
        FleetRecords.decodeState(value)
    }

    /** Guards against a StackOverflowError in a process that skips a field of another version. */
    @Test
    fun `deeply nested unknown fields are skipped`() {
        val nested = "[".repeat(NESTING) + "]".repeat(NESTING)
        val result = CompletableFuture<Unit>()
        val run = Runnable {
            runCatching {
                RECORDS.forEach {
                    assertNotNull(
                        FleetRecords.decodeProgress("""{"s":"Active","x":$nested}""".toByteArray()),
                    )
                }
                decodeAll(nested.toByteArray())
            }.fold({ result.complete(Unit) }, { result.completeExceptionally(it) })
        }
        Thread(null, run, "node-stack", NODE_STACK_BYTES).start()
        result.get()
    }

    /** Guards against any value that a decoder does not expect, at a time when nothing expects an exception. */
    @Test
    fun `random odd records are skipped, or decoded to plausible values`() {
        val random = Random(SEED)
        repeat(FUZZ_ROUNDS) { round ->
            var record = RECORDS.random(random)
            repeat(1 + random.nextInt(3)) {
                val value = VALUE.findAll(record).toList().randomOrNull(random) ?: return@repeat
                record = record.replaceRange(value.range, ODD_VALUES.random(random))
            }
            if (random.nextInt(4) == 0) record = record.take(random.nextInt(record.length + 1))
            runCatching { decodeAll(record.toByteArray()) }
                .onFailure { throw AssertionError("seed $SEED round $round: $record", it) }
        }
    }

    /** Guards against tasks whose names executors and the owner read differently. */
    @Test
    fun `records of jobs whose identifiers are not valid are skipped`() {
        assertEquals(job, FleetRecords.jobOf("job/a1"))
        for (name in listOf("", "a.b", "a/b", "a@b", "a b", "a".repeat(65))) {
            assertNull(FleetRecords.jobOf("job/$name"), name)
        }
    }

    private companion object {
        const val SEED = 20_261_205
        const val FUZZ_ROUNDS = 4000
        const val NESTING = 100_000
        const val NODE_STACK_BYTES = 262_144L
        val VALUE = Regex("""(?<=[:\[,])("[^"]*"|-?[0-9]+|true|false|\[[^\[\]{}]*\])""")
        val ODD_VALUES =
            listOf("1e400", "1e30", "9223372036854775807", "-9223372036854775808", "2147483647", "NaN", "-1", "0") +
                listOf("null", "\"\"", "\"x\"", "\"\\u0000\"", "\"-1.-1.-1\"", "[]", "{}", "[null]", "tru", "")
        val RECORDS =
            listOf(
                """{"q":"queue","p":"pool","t":"team","x":"text","a":1000,"s":[{"n":3,"c":500,"m":100,"e":900},
                {"n":1,"d":[0],"pe":2,"tl":50,"b":1}],"r":{"occurrences":2,"start":1000,"interval":100}}""",
                """{"s":"Active","d":["0.0.0"],"f":{"1.2.3":[4,9]},"c":{"1.2.3":"00ff"},"r":{"1.2.3":"12@i-1"}}""",
                """{"b":7,"p":"pool","a":"h:1","z":"z","c":[1,2,3],"l":["a"]}""",
                """{"epoch":3,"owner":"o","incarnation":"i","resigned":true,"capacity":0.75,"successor":"s"}""",
                """{"epoch":3,"candidate":"entry"}""",
            )
    }
}
