package dogwoodgrade.codec

import dogwoodgrade.control.ControlState
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.ResultCode
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.security.MessageDigest
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Encodes the folded state as compressed JSON, and decodes it. */
public object SnapshotCodec {
    /** Version of the JSON form of snapshots. */
    public const val FORMAT_VERSION: Int = 1

    /** Largest snapshot after decompression, in bytes; a larger one is refused before it can exhaust the memory. */
    public const val MAX_SNAPSHOT_BYTES: Int = 48 * 1024 * 1024

    private const val DIGEST_HEXADECIMAL_DIGITS = 16

    /** Returns the compressed form of [state]. */
    public fun encode(state: ControlState): ByteArray {
        val compressed = ByteArrayOutputStream()
        GZIPOutputStream(compressed).use { it.write(text(state).encodeToByteArray()) }
        return compressed.toByteArray()
    }

    /** Decodes [data]; a malformed or inconsistent snapshot gives a failure. */
    public fun decode(data: ByteArray): Outcome<ControlState> =
        try {
            val text = decompress(data)
            val state = stateOf(recordJson.decodeFromString(SnapshotForm.serializer(), text))
            if (state.permits.isConsistent) Success(state) else malformed("the permits of the snapshot do not add up")
        } catch (failure: IllegalArgumentException) {
            malformed("the snapshot cannot be decoded: ${failure.message?.lineSequence()?.first()}")
        } catch (failure: IOException) {
            malformed("the snapshot cannot be decompressed: ${failure.message}")
        }

    /** Returns a digest by which two processes compare their states at the same offset. */
    public fun digest(state: ControlState): String =
        MessageDigest
            .getInstance("SHA-256")
            .digest(text(state).encodeToByteArray())
            .joinToString("") { "%02x".format(it) }
            .take(DIGEST_HEXADECIMAL_DIGITS)

    private fun text(state: ControlState): String =
        recordJson.encodeToString(SnapshotForm.serializer(), snapshotFormOf(state))

    private fun decompress(data: ByteArray): String {
        val bytes = GZIPInputStream(ByteArrayInputStream(data)).use { it.readNBytes(MAX_SNAPSHOT_BYTES + 1) }
        require(bytes.size <= MAX_SNAPSHOT_BYTES) { "the snapshot exceeds $MAX_SNAPSHOT_BYTES bytes" }
        return bytes.decodeToString()
    }

    private fun malformed(message: String): Failure = Failure(ResultCode.MalformedRecord, message)
}
