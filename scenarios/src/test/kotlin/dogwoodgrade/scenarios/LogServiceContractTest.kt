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

/** The contract of [LogService] under faults, for an in-memory log and for the HTTP client with the log stand-in. */
class LogServiceContractTest {
    @TempDir
    lateinit var folder: Path

    /** One row: faults of the service, what an append returns and how many copies of its record are in the log then. */
    private class Row(val faults: String, val append: KClass<out AppendResult>, val copies: Int)

    private val rows =
        listOf(
            Row("""{}""", Appended::class, 1),
            Row("""{"outage":true}""", Refused::class, 0),
            Row("""{"outage":false,"loseAnswers":1}""", Unknown::class, 1),
            Row("""{"duplicate":1}""", Appended::class, 2),
            Row("""{"loseAnswers":1,"duplicate":1}""", Unknown::class, 2),
            Row("""{"delay":2500}""", Unknown::class, 1),
            Row("""{"delay":0}""", Appended::class, 1),
        )

    private fun assertContract(log: LogService, setFaults: (String) -> Unit) = runBlocking {
        var end = Offset.Zero
        rows.forEachIndexed { index, row ->
            setFaults(row.faults)
            val result = log.append(StreamName.Control, byteArrayOf(index.toByte()))
            assertEquals(row.append, result::class, "${row.faults}: $result")
            if (result is Appended) assertEquals(end, result.offset, row.faults)
            if ("outage\":true" in row.faults) {
                assertTrue(log.read(StreamName.Control, end, 10, Duration.ZERO) is Unreachable, row.faults)
                setFaults("""{"outage":false}""")
            }
            setFaults("""{"delay":0}""")
            Fleet.awaitTrue("copies after ${row.faults}") { runBlocking { readFrom(log, end).size == row.copies } }
            val records = readFrom(log, end)
            assertTrue(records.all { it.data.single() == index.toByte() }, row.faults)
            assertEquals(List(row.copies) { end.value + it }, records.map { it.offset.value }, row.faults)
            end = Offset(end.value + row.copies)
        }
        assertEquals(emptyList(), (log.read(StreamName.Control, end, 10, 50.milliseconds) as Records).records)
        repeat(RETENTION) { log.append(StreamName.Control, byteArrayOf(1)) }
        assertEquals(Dropped(end), log.read(StreamName.Control, Offset.Zero, 10, Duration.ZERO))
        val results = List(RATE * 3) { log.append(StreamName.Control, byteArrayOf(1)) }
        assertTrue(results.any { it is Refused && it.code == ResultCode.LogRateLimited }, "no append was limited")
        assertTrue(results.all { it is Appended || it is Refused }, "$results")
    }

    private suspend fun readFrom(log: LogService, from: Offset): List<StoredRecord> =
        (log.read(StreamName.Control, from, 10, Duration.ZERO) as Records).records

    @Test
    fun `the HTTP client with the stand-in keeps the contract`() {
        val vertx = Vertx.vertx()
        Fleet(folder).use { fleet ->
            fleet.startLog("--retention", "$RETENTION", "--rate", "$RATE")
            assertContract(httpLogService(WebClient.create(vertx), "127.0.0.1", fleet.logPort), fleet::setLogFaults)
        }
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .get()
    }

    @Test
    fun `the in-memory log keeps the contract`() {
        val memory = MemoryLog()
        assertContract(memory.service) { memory.faults.mergeIn(JsonObject(it)) }
    }

    /** Log in memory with the faults of the stand-in; a delay longer than the client waits loses the answer. */
    private class MemoryLog {
        val faults = JsonObject()
        private val records = mutableListOf<ByteArray>()
        private var inRow = 0

        val service =
            LogService(
                append = { _, record -> append(record) },
                read = { _, from, limit, _ -> read(from, limit) },
            )

        private fun append(record: ByteArray): AppendResult {
            if (faults.getBoolean("outage", false)) return Refused(ResultCode.LogUnreachable, "outage")
            if (++inRow > RATE) return Refused(ResultCode.LogRateLimited, "rate")
            val offset = Offset(records.size.toLong())
            repeat(if (take("duplicate")) 2 else 1) { records += record }
            val lost = take("loseAnswers") || faults.getLong("delay", 0) > 2_000
            return if (lost) Unknown(ResultCode.LogAnswerLost, "lost") else Appended(offset)
        }

        private fun take(name: String): Boolean {
            val left = faults.getInteger(name, 0)
            if (left > 0) faults.put(name, left - 1)
            return left > 0
        }

        private fun read(from: Offset, limit: Int): ReadResult {
            inRow = 0
            val first = (records.size - RETENTION).coerceAtLeast(0)
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
        const val RETENTION = 20
        const val RATE = 40
    }
}
