package dogwoodgrade.entry

import dogwoodgrade.model.Execution
import dogwoodgrade.model.ResultCode
import io.vertx.core.buffer.Buffer
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/** Why a request is not answered by an endpoint. */
internal data class CallerRefusal(
    val code: ResultCode,
    val message: String,
    val execution: Execution = Execution.No,
    val retryAfter: Duration? = null,
)

/** Status and headers of a response. */
internal data class ResponseHead(val status: Int, val headers: List<Pair<String, String>>)

/**
 * Takes the body of a response.
 *
 * @property write takes a part of the body
 * @property whenWritable calls the function once more can be written, at once if that is now
 * @property isFull whether the receiver is slow and nothing more should be written for now
 * @property end ends a complete response
 * @property abort breaks the connection, so that the part that was sent is not taken for a complete response
 */
internal data class BodySink(
    val write: (Buffer) -> Unit,
    val isFull: () -> Boolean,
    val whenWritable: (() -> Unit) -> Unit,
    val end: () -> Unit,
    val abort: () -> Unit,
)

/** Way back to a caller: either a refusal, or a head that is followed by a body. */
internal data class CallerReply(
    val refuse: (CallerRefusal) -> Unit,
    val begin: (ResponseHead) -> BodySink,
)

/** Lets exactly one answer through, also when a deadline and a response race. */
internal class ReplyOnce(private val reply: CallerReply) {
    private val answered = AtomicBoolean()

    /** Whether an answer was given. */
    val isAnswered: Boolean get() = answered.get()

    /** Notes that the caller has left; nothing is sent to it any more. */
    fun abandon() {
        answered.set(true)
    }

    /** Refuses the request; returns `false` if it was answered before. */
    fun refuse(refusal: CallerRefusal): Boolean =
        answered.compareAndSet(false, true).also { first -> if (first) reply.refuse(refusal) }

    /** Begins a response, or returns `null` if the request was answered before. */
    fun begin(head: ResponseHead): BodySink? =
        if (answered.compareAndSet(false, true)) reply.begin(head) else null
}
