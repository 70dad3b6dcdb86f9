package dogwoodgrade.scenarios

import dogwoodgrade.logclient.AppendResult
import dogwoodgrade.logclient.AppendResult.Appended
import dogwoodgrade.logclient.AppendResult.Refused
import dogwoodgrade.logclient.AppendResult.Unknown
import dogwoodgrade.logclient.LogService
import dogwoodgrade.logclient.ReadResult
import dogwoodgrade.logclient.ReadResult.Dropped
import dogwoodgrade.logclient.ReadResult.Records
import dogwoodgrade.logclient.ReadResult.Unreachable
import dogwoodgrade.logclient.StoredRecord
import dogwoodgrade.logclient.StreamName
import dogwoodgrade.logclient.httpLogService
import dogwoodgrade.model.Offset
import dogwoodgrade.model.ResultCode
import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.reflect.KClass
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tests the contract of [LogService] under faults, for an in-memory log and for the HTTP client with the log stand-in.
 *
 * Guards against a client that reports an append as refused or appended although its outcome is unknown, and against
 * an in-memory log that behaves differently from the HTTP client.
 */
class LogServiceContractTest {
    @TempDir
    lateinit var folder: Path

    /**
     * Faults of the log service and their expected effect on an append.
     *
     * @property faults faults of the service, as a JSON object
     * @property append expected result of an append
     * @property copies expected number of copies of the appended record in the log
     */
    private class FaultCase(val faults: String, val append: KClass<out AppendResult>, val copies: Int)

    private val faultCases =
        listOf(
            FaultCase("""{}""", Appended::class, 1),
            FaultCase("""{"outage":true}""", Refused::class, 0),
            FaultCase("""{"outage":false,"loseAnswers":1}""", Unknown::class, 1),
            FaultCase("""{"duplicate":1}""", Appended::class, 2),
            FaultCase("""{"loseAnswers":1,"duplicate":1}""", Unknown::class, 2),
            FaultCase("""{"delay":2500}""", Unknown::class, 1),
            FaultCase("""{"delay":0}""", Appended::class, 1),
        )

    private fun assertContract(log: LogService, setFaults: (String) -> Unit) = runBlocking {
        var end = Offset.Zero
        faultCases.forEachIndexed { index, faultCase ->
            setFaults(faultCase.faults)
            val result = log.append(StreamName.Control, byteArrayOf(index.toByte()))
            assertEquals(faultCase.append, result::class, "${faultCase.faults}: $result")
            if (result is Appended) assertEquals(end, result.offset, faultCase.faults)
            if ("outage\":true" in faultCase.faults) {
                assertTrue(log.read(StreamName.Control, end, 10, Duration.ZERO) is Unreachable, faultCase.faults)
                setFaults("""{"outage":false}""")
            }
            setFaults("""{"delay":0}""")
            Fleet.awaitTrue("copies after ${faultCase.faults}") {
                runBlocking { readFrom(log, end).size == faultCase.copies }
            }
            val records = readFrom(log, end)
            assertTrue(records.all { it.data.single() == index.toByte() }, faultCase.faults)
            assertEquals(List(faultCase.copies) { end.value + it }, records.map { it.offset.value }, faultCase.faults)
            end = Offset(end.value + faultCase.copies)
        }
        assertEquals(emptyList(), (log.read(StreamName.Control, end, 10, 50.milliseconds) as Records).records)
        repeat(RETENTION_RECORDS) { log.append(StreamName.Control, byteArrayOf(1)) }
        assertEquals(Dropped(end), log.read(StreamName.Control, Offset.Zero, 10, Duration.ZERO))
        val results = List(MAX_APPENDS_PER_SECOND * 3) { log.append(StreamName.Control, byteArrayOf(1)) }
        assertTrue(results.any { it is Refused && it.code == ResultCode.LogRateLimited }, "no append was rate-limited")
        assertTrue(results.all { it is Appended || it is Refused }, "$results")
    }

    private suspend fun readFrom(log: LogService, from: Offset): List<StoredRecord> =
        (log.read(StreamName.Control, from, 10, Duration.ZERO) as Records).records

    @Test
    fun `the HTTP client with the stand-in meets the contract`() {
        val vertx = Vertx.vertx()
        Fleet(folder).use { fleet ->
            fleet.startLog("--retention", "$RETENTION_RECORDS", "--rate", "$MAX_APPENDS_PER_SECOND")
            assertContract(httpLogService(WebClient.create(vertx), "127.0.0.1", fleet.logPort), fleet::setLogFaults)
        }
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .get()
    }

    @Test
    fun `the in-memory log meets the contract`() {
        val memory = MemoryLog()
        assertContract(memory.service) { memory.faults.mergeIn(JsonObject(it)) }
    }

    /** In-memory log with the faults of the stand-in; a delay longer than the client's timeout loses the response. */
    private class MemoryLog {
        val faults = JsonObject()
        private val records = mutableListOf<ByteArray>()
        private var appendsSinceRead = 0

        val service =
            LogService(
                append = { _, record -> append(record) },
                read = { _, from, limit, _ -> read(from, limit) },
            )

        private fun append(record: ByteArray): AppendResult {
            if (faults.getBoolean("outage", false)) return Refused(ResultCode.LogUnreachable, "outage")
            if (++appendsSinceRead > MAX_APPENDS_PER_SECOND) return Refused(ResultCode.LogRateLimited, "rate")
            val offset = Offset(records.size.toLong())
            repeat(if (takeFault("duplicate")) 2 else 1) { records += record }
            val lost = takeFault("loseAnswers") || faults.getLong("delay", 0) > 2_000
            return if (lost) Unknown(ResultCode.LogAnswerLost, "lost") else Appended(offset)
        }

        private fun takeFault(name: String): Boolean {
            val remaining = faults.getInteger(name, 0)
            if (remaining > 0) faults.put(name, remaining - 1)
            return remaining > 0
        }

        private fun read(from: Offset, limit: Int): ReadResult {
            appendsSinceRead = 0
            val first = (records.size - RETENTION_RECORDS).coerceAtLeast(0)
            if (faults.getBoolean("outage", false)) return Unreachable(ResultCode.LogUnreachable, "outage")
            if (from.value < first) return Dropped(Offset(first.toLong()))
            val kept = records.drop(from.value.toInt()).take(limit)
            return Records(
                kept.mapIndexed {
                    i,
                    data,
                    ->
                    StoredRecord(Offset(from.value + i), data)
                },
                Offset(records.size.toLong()),
            )
        }
    }

    private companion object {
        const val RETENTION_RECORDS = 20
        const val MAX_APPENDS_PER_SECOND = 40
    }
}
