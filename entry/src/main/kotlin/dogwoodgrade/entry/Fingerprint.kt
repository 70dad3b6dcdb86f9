package dogwoodgrade.entry

import dogwoodgrade.routing.RequestFingerprint
import dogwoodgrade.shares.QueueOwner
import java.util.zip.CRC32C

/**
 * Returns a short value that is equal for requests with the same owner, method, target and body.
 *
 * A checksum suffices: a collision matters only if both requests fail on three endpoints each.
 */
internal fun fingerprintOf(request: CallerRequest, owner: QueueOwner): RequestFingerprint {
    val checksum = CRC32C().apply { update(request.body) }
    val text = "$owner ${request.method} ${request.target} ${request.body.size} ${checksum.value}"
    return RequestFingerprint(text.take(MAX_FINGERPRINT_LENGTH))
}

private const val MAX_FINGERPRINT_LENGTH = 256
