package dogwoodgrade.scenarios

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture

/**
 * Response to an HTTP request.
 *
 * @property status HTTP status, or 0 if the request failed before the response was complete
 * @property body body of the response, or the failure if [status] is 0
 */
public data class CallResult(public val status: Int, public val body: String) {
    /** The body as a JSON object, or an empty object if the body is not one. */
    public val json: JsonObject
        get() = runCatching { Json.parseToJsonElement(body).jsonObject }.getOrDefault(JsonObject(emptyMap()))
}

/** HTTP client for the demonstration and the tests. */
public object HttpCalls {
    private val client: HttpClient =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build()

    /** Sends a request and waits for the response. */
    public fun send(
        method: String,
        url: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
    ): CallResult = sendLater(method, url, body, headers).join()

    /** Sends a request and returns a future of its response; the future does not fail. */
    public fun sendLater(
        method: String,
        url: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
    ): CompletableFuture<CallResult> {
        val request =
            HttpRequest
                .newBuilder(URI.create(url))
                .timeout(Duration.ofSeconds(60))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> request.header(name, value) }
        return client
            .sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
            .thenApply { CallResult(it.statusCode(), it.body()) }
            .exceptionally { failure -> CallResult(0, (failure.cause as? IOException ?: failure).toString()) }
    }
}
