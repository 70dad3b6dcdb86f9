package dogwoodgrade.codec

import dogwoodgrade.control.ControlRecord
import dogwoodgrade.control.ControlState
import dogwoodgrade.control.fold
import dogwoodgrade.model.Offset
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.failureOrNull
import dogwoodgrade.model.valueOrNull
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class SnapshotCodecTest {
    private fun states(): List<ControlState> =
        sampleBodies().withIndex().runningFold(ControlState.Empty) { state, (index, body) ->
            val version = if (index == 0) 1 else 2
            val record = ControlRecord(RecordIdentifier("r$index"), version, "tester", body)
            state.fold(Offset(index.toLong()), RecordCodec.decode(RecordCodec.encode(record)))
        }

    @Test
    fun `the state at every offset survives encoding and decoding`() {
        for (state in states()) {
            assertEquals(state, SnapshotCodec.decode(SnapshotCodec.encode(state)).valueOrNull())
        }
    }

    @Test
    fun `the sample records reach every part of the state`() {
        val all = states()
        assertTrue(
            all.any {
                it.permits.teams.values
                    .any { team -> team.quarantinedTotal > 0 }
            },
        )
        assertTrue(
            all.any {
                it.jobs.unfinished.values
                    .any { job -> job.claim != null }
            },
        )
        assertTrue(
            all
                .last()
                .jobs.ended.size >= 3,
        )
    }

    @Test
    fun `digests of different states differ`() {
        val all = states()
        assertEquals(all.size, all.map(SnapshotCodec::digest).toSet().size)
        assertNotEquals(SnapshotCodec.digest(all.first()), SnapshotCodec.digest(all.last()))
    }

    @Property(seed = "20261204", tries = 100)
    fun `a truncated snapshot is refused and never throws`(
        @ForAll position: Int,
    ) {
        val data = SnapshotCodec.encode(states().last())
        val cut = SnapshotCodec.decode(data.copyOf(Math.floorMod(position, data.size)))
        assertEquals(ResultCode.MalformedRecord, cut.failureOrNull()?.code)
    }
}
