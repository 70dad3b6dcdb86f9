package dogwoodgrade.entry

import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.Outcome.Failure
import dogwoodgrade.model.Outcome.Success
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.map
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Methods whose requests may run more than once without a further effect (RFC 9110, section 9.2.2). */
private val IdempotentMethods = setOf("GET", "HEAD", "PUT", "DELETE", "OPTIONS")

private const val KEY_PREFIX = "Bearer "
private const val MAX_DEADLINE_MILLISECONDS = 3_600_000L

/** Headers of the caller that the entry sets itself or that must not reach an endpoint. */
private val OwnHeaders =
    setOf(
        "authorization",
        "host",
        "content-length",
        "expect",
        "x-request-id",
        "dogwoodgrade-class",
        "dogwoodgrade-deadline-milliseconds",
        "dogwoodgrade-team",
        "dogwoodgrade-attempt",
        "dogwoodgrade-lease-until",
    )

/** The parts of an HTTP request that [parseRequest] reads; header names are in lower case. */
internal data class RawRequest(
    val method: String,
    val path: String,
    val query: String?,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
) {
    /** Returns the first value of a header, or `null`. */
    fun header(name: String): String? = headers.firstOrNull { it.first == name }?.second
}

/** Reads a caller's request. The first path segment names the service; the endpoint gets the whole path. */
internal fun parseRequest(raw: RawRequest, path: String = raw.path): Outcome<CallerRequest> {
    val segment = path.removePrefix("/").substringBefore('/')
    val service =
        ServiceName.parseOrNull(segment) ?: return malformed("\"${segment.take(MAX_QUOTED)}\" is not a service name")
    val classText = raw.header("dogwoodgrade-class")
    val requestClass =
        if (classText == null) RequestClass.Normal else RequestClass.parseOrNull(classText)
    return when {
        requestClass == null -> malformed("Dogwoodgrade-Class is neither urgent nor normal")
        else ->
            parseIdentifier(raw).mapWith(parseTimeout(raw)) { identifier, timeout ->
                CallerRequest(
                    identifier = identifier,
                    method = raw.method,
                    service = service,
                    target = path + (raw.query?.let { "?$it" } ?: ""),
                    key = keyOf(raw),
                    requestClass = requestClass,
                    idempotent = raw.method in IdempotentMethods || raw.header("idempotency-key") != null,
                    timeout = timeout.takeIf { it.isPositive() },
                    headers = raw.headers.filter { (name, _) -> name !in OwnHeaders && isForwarded(name) },
                    body = raw.body,
                )
            }
    }
}

private const val MAX_QUOTED = 80

private fun malformed(message: String): Failure = Failure(ResultCode.MalformedRequest, message)

private inline fun <First, Second, Result> Outcome<First>.mapWith(
    second: Outcome<Second>,
    transform: (First, Second) -> Result,
): Outcome<Result> =
    when (second) {
        is Success -> map { transform(it, second.value) }
        is Failure -> second
    }

internal fun keyOf(raw: RawRequest): KeyDigest? =
    raw
        .header("authorization")
        ?.takeIf { it.startsWith(KEY_PREFIX, ignoreCase = true) }
        ?.let { KeyDigest.of(it.substring(KEY_PREFIX.length).trim()) }

private fun parseIdentifier(raw: RawRequest): Outcome<RequestIdentifier> {
    val text = raw.header("x-request-id") ?: return Success(RequestIdentifier(UUID.randomUUID().toString()))
    return RequestIdentifier.parseOrNull(text)?.let { Success(it) } ?: malformed("X-Request-Id is not printable ASCII")
}

/** Returns zero if the caller names no deadline. */
private fun parseTimeout(raw: RawRequest): Outcome<Duration> {
    val text = raw.header("dogwoodgrade-deadline-milliseconds") ?: return Success(Duration.ZERO)
    val milliseconds = text.toLongOrNull()?.takeIf { it in 1..MAX_DEADLINE_MILLISECONDS }
    return milliseconds?.let { Success(it.milliseconds) }
        ?: malformed("Dogwoodgrade-Deadline-Milliseconds is not in 1..$MAX_DEADLINE_MILLISECONDS")
}
