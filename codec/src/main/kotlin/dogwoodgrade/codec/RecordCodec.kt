package dogwoodgrade.codec

import dogwoodgrade.control.ControlRecord
import dogwoodgrade.control.DecodedRecord
import dogwoodgrade.control.SchemaVersions
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonPrimitive

/** Encodes records of the control stream as JSON in UTF-8, and decodes them. */
public object RecordCodec {
    /** Largest record that is decoded, in bytes. */
    public const val MAX_RECORD_BYTES: Int = 128 * 1024

    /** Returns the JSON form of [record]. */
    public fun encode(record: ControlRecord): ByteArray {
        val form = RecordForm(record.identifier.text, record.schemaVersion, record.proposer, formOf(record.body))
        return recordJson.encodeToString(RecordForm.serializer(), form).encodeToByteArray()
    }

    /** Returns the body of [record] as JSON text, for output to operators. */
    public fun bodyText(record: ControlRecord): String =
        recordJson.encodeToString(BodyForm.serializer(), formOf(record.body))

    /** Decodes [data]. Never throws: for malformed data, the result holds what could be read and a failure. */
    public fun decode(data: ByteArray): DecodedRecord {
        val element =
            if (data.size >
                MAX_RECORD_BYTES
            ) {
                null
            } else {
                resultOrNull { Json.parseToJsonElement(data.decodeToString()) as JsonObject }
            }
        val identifier =
            element?.let { resultOrNull { RecordIdentifier(it.getValue("identifier").jsonPrimitive.content) } }
        val version = element?.let { resultOrNull { it.getValue("schemaVersion").jsonPrimitive.int } }
        if (element == null || identifier == null || version == null) {
            return DecodedRecord(identifier, SchemaVersions.OLDEST, malformed("the record has no readable header"))
        }
        if (version < SchemaVersions.OLDEST) {
            return DecodedRecord(identifier, version, malformed("schema version $version is below 1"))
        }
        if (version > SchemaVersions.NEWEST) {
            val failure = Failure(ResultCode.UnsupportedSchemaVersion, "schema version $version is not known")
            return DecodedRecord(identifier, version, failure)
        }
        return DecodedRecord(identifier, version, decodeBody(element, identifier, version))
    }

    private fun decodeBody(element: JsonObject, identifier: RecordIdentifier, version: Int) =
        try {
            val form = recordJson.decodeFromJsonElement<RecordForm>(element)
            require(version >= 2 || (form.body as? TeamForm)?.refuseWhenStaleAfterMilliseconds == null) {
                "refuseWhenStaleAfterMilliseconds needs schema version 2"
            }
            Success(ControlRecord(identifier, version, form.proposer, bodyOf(form.body)))
        } catch (failure: IllegalArgumentException) {
            malformed(failure.message?.lineSequence()?.first() ?: "the body cannot be decoded")
        }

    private fun malformed(message: String) = Failure(ResultCode.MalformedRecord, message)

    /** Catches every exception, because the JSON library reports malformed text by several types of them. */
    private inline fun <Value> resultOrNull(action: () -> Value): Value? = runCatching(action).getOrNull()
}
