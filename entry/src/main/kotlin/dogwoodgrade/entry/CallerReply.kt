package dogwoodgrade.entry

import dogwoodgrade.model.Execution
import dogwoodgrade.model.ResultCode
import io.vertx.core.buffer.Buffer
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/** The reason why the entry refuses a request instead of forwarding the response of an endpoint. */
internal data class CallerRefusal(
    val code: ResultCode,
    val message: String,
    val execution: Execution = Execution.No,
    val retryAfter: Duration? = null,
)

/** Status and headers of a response. */
internal data class ResponseHead(val status: Int, val headers: List<Pair<String, String>>)

/**
 * Receives the body of a response.
 *
 * @property write writes a part of the body
 * @property whenWritable calls the function when more can be written, immediately if that is already so
 * @property isFull whether the receiver is slow and nothing more should be written for now
 * @property end completes the response
 * @property abort closes the connection, so that the receiver does not take the partial body for a complete response
 */
internal data class BodySink(
    val write: (Buffer) -> Unit,
    val isFull: () -> Boolean,
    val whenWritable: (() -> Unit) -> Unit,
    val end: () -> Unit,
    val abort: () -> Unit,
)

/** Functions that answer a caller: either a refusal, or a response head that is followed by a body. */
internal data class CallerReply(
    val refuse: (CallerRefusal) -> Unit,
    val begin: (ResponseHead) -> BodySink,
)

/** Sends at most one answer, even when a deadline and a response race. */
internal class ReplyOnce(private val reply: CallerReply) {
    private val answered = AtomicBoolean()

    /** Whether the request was answered or abandoned. */
    val isAnswered: Boolean get() = answered.get()

    /** Records that the caller has disconnected; nothing is sent to it from now on. */
    fun abandon() {
        answered.set(true)
    }

    /** Refuses the request; returns `false` if it was already answered. */
    fun refuse(refusal: CallerRefusal): Boolean =
        answered.compareAndSet(false, true).also { first -> if (first) reply.refuse(refusal) }

    /** Begins a response, or returns `null` if the request was already answered. */
    fun begin(head: ResponseHead): BodySink? =
        if (answered.compareAndSet(false, true)) reply.begin(head) else null
}
