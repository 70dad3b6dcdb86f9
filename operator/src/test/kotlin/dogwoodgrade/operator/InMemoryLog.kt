package dogwoodgrade.operator

import dogwoodgrade.logclient.AppendResult
import dogwoodgrade.logclient.LogService
import dogwoodgrade.logclient.ReadResult
import dogwoodgrade.logclient.StoredRecord
import dogwoodgrade.logclient.StreamName
import dogwoodgrade.model.Offset
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode

/** An in-memory log that can lose the answers of successful appends and can be unreachable. */
internal class InMemoryLog {
    val control = mutableListOf<ByteArray>()
    var answersToLose = 0
    var unreachable = false

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
        if (unreachable) return AppendResult.Refused(ResultCode.LogUnreachable, "unreachable")
        control += record
        if (answersToLose-- > 0) return AppendResult.Unknown(ResultCode.LogAnswerLost, "lost")
        return AppendResult.Appended(Offset(control.size - 1L))
    }

    private fun read(records: List<ByteArray>, from: Offset, limit: Int): ReadResult {
        if (unreachable) return ReadResult.Unreachable(ResultCode.LogUnreachable, "unreachable")
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
