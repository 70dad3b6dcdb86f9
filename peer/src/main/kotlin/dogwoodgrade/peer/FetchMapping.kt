// Maps the fetch and identify messages to their wire forms, and back with checks.
package dogwoodgrade.peer

import com.google.protobuf.ByteString
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.wire.WireFetchAnswer
import dogwoodgrade.wire.WireFetchRequest
import dogwoodgrade.wire.WireIdentity
import dogwoodgrade.wire.WireSnapshot

internal fun encodeFetchRequest(request: FetchRequest): WireFetchRequest =
    WireFetchRequest
        .newBuilder()
        .setFrom(request.from.value)
        .setMaximumRecords(request.maximumRecords)
        .setMaximumBytes(request.maximumBytes)
        .build()

/** Lowers the bounds of a request to those in [settings]. */
internal fun decodeFetchRequest(wire: WireFetchRequest, settings: PeerSettings): Outcome<FetchRequest> {
    if (wire.from < 0 || wire.maximumRecords <= 0 || wire.maximumBytes <= 0) {
        return malformed("the fetch request has a number out of range")
    }
    val records = wire.maximumRecords.coerceAtMost(settings.maximumFetchRecords)
    val bytes = wire.maximumBytes.coerceAtMost(settings.maximumFetchBytes / 2)
    return Outcome.Success(FetchRequest(Offset(wire.from), records, bytes))
}

internal fun encodeFetchAnswer(answer: FetchAnswer, request: FetchRequest): WireFetchAnswer {
    val wire = WireFetchAnswer.newBuilder()
    when (val content = answer.content) {
        is FetchContent.Records ->
            request.boundedPrefix(content.records).forEach { wire.addRecords(ByteString.copyFrom(it)) }
        is FetchContent.Snapshot ->
            wire.snapshot =
                WireSnapshot
                    .newBuilder()
                    .setOffset(content.offset.value)
                    .setState(ByteString.copyFrom(content.state))
                    .build()
    }
    return wire
        .setAppliedOffset(answer.contact.appliedOffset.value)
        .setContactAge(encodeAge(answer.contact.age))
        .build()
}

internal fun decodeFetchAnswer(wire: WireFetchAnswer): Outcome<FetchAnswer> {
    val contact = decodeContact(wire.appliedOffset, wire.contactAge)
        ?: return malformed("the log contact of the fetch answer is out of range")
    if (!wire.hasSnapshot()) {
        return Outcome.Success(
            FetchAnswer(FetchContent.Records(wire.recordsList.map(ByteString::toByteArray)), contact),
        )
    }
    if (wire.recordsCount > 0 ||
        wire.snapshot.offset < 0
    ) {
        return malformed("the snapshot of the fetch answer is invalid")
    }
    val snapshot = FetchContent.Snapshot(Offset(wire.snapshot.offset), wire.snapshot.state.toByteArray())
    return Outcome.Success(FetchAnswer(snapshot, contact))
}

internal fun encodeIdentity(identity: EntryIdentity): WireIdentity =
    WireIdentity
        .newBuilder()
        .setName(identity.name.text)
        .setIncarnation(identity.incarnation)
        .build()

internal fun decodeIdentityOrNull(wire: WireIdentity): EntryIdentity? {
    val name = EntryName.parseOrNull(wire.name) ?: return null
    return if (wire.incarnation > 0) EntryIdentity(name, wire.incarnation) else null
}
