// Numbered refusals as gRPC statuses: the number travels in a trailer, the sentence in the description.
package dogwoodgrade.peer

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import io.grpc.Metadata
import io.grpc.Status
import io.grpc.StatusException

private val CodeTrailer: Metadata.Key<String> =
    Metadata.Key.of("dogwoodgrade-code", Metadata.ASCII_STRING_MARSHALLER)

internal fun Outcome.Failure.toStatusException(): StatusException {
    val status = if (code == ResultCode.MalformedRecord) Status.INVALID_ARGUMENT else Status.FAILED_PRECONDITION
    val trailers = Metadata().apply { put(CodeTrailer, code.number.toString()) }
    return StatusException(status.withDescription(message), trailers)
}

/** Returns the refusal of the peer, or `PeerUnreachable` if it gave none. */
internal fun StatusException.toFailure(): Outcome.Failure {
    val code = trailers?.get(CodeTrailer)?.toIntOrNull()?.let(ResultCode::ofNumberOrNull)
    return Outcome.Failure(
        code ?: ResultCode.PeerUnreachable,
        status.description ?: "the peer gave no answer (${status.code})",
    )
}
