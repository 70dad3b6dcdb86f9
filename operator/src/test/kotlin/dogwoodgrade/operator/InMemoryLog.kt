package dogwoodgrade.operator

import dogwoodgrade.logclient.AppendResult
import dogwoodgrade.logclient.LogService
import dogwoodgrade.logclient.ReadResult
import dogwoodgrade.logclient.StoredRecord
import dogwoodgrade.logclient.StreamName
import dogwoodgrade.model.Offset
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode

/** A log in memory that can lose the answers of appends that took effect, and can be down. */
internal class InMemoryLog {
    val control = mutableListOf<ByteArray>()
    var answersToLose = 0
    var down = false

    val service =
        LogService(
            append = { _, record -> append(record) },
            read = { stream, from, limit, _ ->
                read(
                    if (stream ==
                        StreamName.Control
                    ) {
                        control
                    } else {
                        emptyList()
                    },
                    from,
                    limit,
                )
            },
        )

    private fun append(record: ByteArray): AppendResult {
        if (down) return AppendResult.Refused(ResultCode.LogUnreachable, "down")
        control += record
        if (answersToLose-- > 0) return AppendResult.Unknown(ResultCode.LogAnswerLost, "lost")
        return AppendResult.Appended(Offset(control.size - 1L))
    }

    private fun read(records: List<ByteArray>, from: Offset, limit: Int): ReadResult {
        if (down) return ReadResult.Unreachable(ResultCode.LogUnreachable, "down")
        val first = from.value.toInt()
        val part = records.drop(first).take(limit).withIndex()
        return ReadResult.Records(
            part.map {
                StoredRecord(Offset(from.value + it.index), it.value)
            },
            Offset(records.size.toLong()),
        )
    }

    private var proposals = 0

    fun session(name: String) = ControlSession(service, name, { RecordIdentifier("$name-${proposals++}") })
}
