// Maps failures to gRPC statuses and back: the result code is in a trailer, the message in the description.
package dogwoodgrade.peer

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import io.grpc.Metadata
import io.grpc.Status
import io.grpc.StatusException

private val CODE_TRAILER: Metadata.Key<String> =
    Metadata.Key.of("dogwoodgrade-code", Metadata.ASCII_STRING_MARSHALLER)

internal fun Outcome.Failure.toStatusException(): StatusException {
    val status = if (code == ResultCode.MalformedRecord) Status.INVALID_ARGUMENT else Status.FAILED_PRECONDITION
    val trailers = Metadata().apply { put(CODE_TRAILER, code.number.toString()) }
    return StatusException(status.withDescription(message), trailers)
}

/** Returns the peer's refusal, or a failure with `PeerUnreachable` if the status carries no result code. */
internal fun StatusException.toFailure(): Outcome.Failure {
    val code = trailers?.get(CODE_TRAILER)?.toIntOrNull()?.let(ResultCode::ofNumberOrNull)
    return Outcome.Failure(
        code ?: ResultCode.PeerUnreachable,
        status.description ?: "the peer gave no answer (${status.code})",
    )
}
