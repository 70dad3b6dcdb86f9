package dogwoodgrade.codec

import dogwoodgrade.control.ControlRecord
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.failureOrNull
import dogwoodgrade.model.valueOrNull
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class RecordCodecTest {
    private fun recordText(body: String) =
        """{"identifier":"r","schemaVersion":1,"proposer":"p","body":$body}"""

    @Test
    fun `every kind of record survives encoding and decoding`() {
        for (body in sampleBodies()) {
            val record = ControlRecord(RecordIdentifier("r"), 2, "tester", body)
            assertEquals(record, RecordCodec.decode(RecordCodec.encode(record)).record.valueOrNull())
        }
    }

    @Test
    fun `malformed records are refused with a result code`() {
        val cases =
            listOf(
                "" to ResultCode.MalformedRecord,
                "[]" to ResultCode.MalformedRecord,
                """{"identifier":"r"}""" to ResultCode.MalformedRecord,
                """{"identifier":"r","schemaVersion":0,"proposer":"p","body":{}}""" to ResultCode.MalformedRecord,
                recordText("""{"kind":"no-such"}""") to ResultCode.MalformedRecord,
                recordText("""{"kind":"zone-out","zone":"A","baseVersion":0}""") to ResultCode.MalformedRecord,
                """{"identifier":"r","schemaVersion":99,"proposer":"p","body":{}}""" to
                    ResultCode.UnsupportedSchemaVersion,
            )
        for ((text, code) in cases) {
            assertEquals(
                code,
                RecordCodec
                    .decode(text.encodeToByteArray())
                    .record
                    .failureOrNull()
                    ?.code,
                text,
            )
        }
    }

    @Test
    fun `a field of schema version 2 is refused in a record of version 1`() {
        val team = """{"kind":"team","name":"t","share":1,"upperLimit":2,"baseVersion":0"""
        val versionOneRecord = recordText("$team}")
        val recordWithNewerField = recordText("""$team,"refuseWhenStaleAfterMilliseconds":5}""")
        assertNotNull(RecordCodec.decode(versionOneRecord.encodeToByteArray()).record.valueOrNull())
        assertNull(RecordCodec.decode(recordWithNewerField.encodeToByteArray()).record.valueOrNull())
    }

    @Property(seed = "20261204", tries = 500)
    fun `random bytes are refused and never throw`(
        @ForAll data: ByteArray,
    ) {
        assertNull(RecordCodec.decode(data).record.valueOrNull())
    }

    @Property(seed = "20261204", tries = 300)
    fun `truncated and altered records never throw`(
        @ForAll index: Int,
        @ForAll position: Int,
        @ForAll value: Byte,
    ) {
        val bodies = sampleBodies()
        val body = bodies[Math.floorMod(index, bodies.size)]
        val data = RecordCodec.encode(ControlRecord(RecordIdentifier("r"), 1, "tester", body))
        val at = Math.floorMod(position, data.size)
        assertNull(RecordCodec.decode(data.copyOf(at)).record.valueOrNull())
        RecordCodec.decode(data.copyOf().also { it[at] = value })
    }
}
