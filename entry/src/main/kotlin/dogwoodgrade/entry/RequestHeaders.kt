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

/** Methods whose requests have the same effect when they run more than once (RFC 9110, section 9.2.2). */
private val IDEMPOTENT_METHODS = setOf("GET", "HEAD", "PUT", "DELETE", "OPTIONS")

private const val BEARER_PREFIX = "Bearer "
private const val MAX_DEADLINE_MILLISECONDS = 3_600_000L

/** Headers that are not forwarded, because the entry sets them itself or an endpoint must not see them. */
private val STRIPPED_HEADERS =
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

/** Parses a caller's request. The first path segment is the service; the endpoint gets the whole path. */
internal fun parseRequest(raw: RawRequest, path: String = raw.path): Outcome<CallerRequest> {
    val segment = path.removePrefix("/").substringBefore('/')
    val service =
        ServiceName.parseOrNull(segment)
            ?: return malformed("\"${segment.take(MAX_QUOTED_LENGTH)}\" is not a service name")
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
                    idempotent = raw.method in IDEMPOTENT_METHODS || raw.header("idempotency-key") != null,
                    timeout = timeout.takeIf { it.isPositive() },
                    headers = raw.headers.filter { (name, _) -> name !in STRIPPED_HEADERS && isForwarded(name) },
                    body = raw.body,
                )
            }
    }
}

private const val MAX_QUOTED_LENGTH = 80

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
        ?.takeIf { it.startsWith(BEARER_PREFIX, ignoreCase = true) }
        ?.let { KeyDigest.of(it.substring(BEARER_PREFIX.length).trim()) }

private fun parseIdentifier(raw: RawRequest): Outcome<RequestIdentifier> {
    val text = raw.header("x-request-id") ?: return Success(RequestIdentifier(UUID.randomUUID().toString()))
    return RequestIdentifier.parseOrNull(text)?.let { Success(it) } ?: malformed("X-Request-Id is not printable ASCII")
}

/** Returns zero if the caller sets no deadline. */
private fun parseTimeout(raw: RawRequest): Outcome<Duration> {
    val text = raw.header("dogwoodgrade-deadline-milliseconds") ?: return Success(Duration.ZERO)
    val milliseconds = text.toLongOrNull()?.takeIf { it in 1..MAX_DEADLINE_MILLISECONDS }
    return milliseconds?.let { Success(it.milliseconds) }
        ?: malformed("Dogwoodgrade-Deadline-Milliseconds is not in 1..$MAX_DEADLINE_MILLISECONDS")
}
