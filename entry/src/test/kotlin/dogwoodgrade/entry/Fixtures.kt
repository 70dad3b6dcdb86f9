package dogwoodgrade.entry

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.RequestClass
import dogwoodgrade.model.RequestIdentifier
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.routing.Endpoint
import dogwoodgrade.routing.RequestFingerprint
import dogwoodgrade.routing.Reservation
import dogwoodgrade.shares.QueueOwner
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val GRANITO = TeamName("granito")
internal val PRICING = PoolName("pricing")
internal val ZONE_A = AvailabilityZone("a")

/** Records the reply that a caller receives. */
internal class RecordedReply {
    @Volatile
    var refusal: CallerRefusal? = null

    @Volatile
    var isComplete = false

    @Volatile
    var isAborted = false
    private val text = StringBuffer()
    val body: String get() = text.toString()

    val reply =
        ReplyOnce(
            CallerReply(
                refuse = { refusal = it },
                begin = {
                    BodySink({ text.append(it) }, { false }, { it() }, { isComplete = true }, { isAborted = true })
                },
            ),
        )
}

internal fun requestOf(
    identifier: String,
    method: String = "POST",
    service: String = "price",
    idempotent: Boolean = false,
    timeout: Duration? = null,
): CallerRequest =
    CallerRequest(
        RequestIdentifier(identifier),
        method,
        ServiceName(service),
        "/$service/$identifier",
        KeyDigest.of("secret"),
        RequestClass.Normal,
        idempotent,
        timeout,
        emptyList(),
        ByteArray(0),
    )

internal fun callOf(request: CallerRequest, reply: ReplyOnce, deadline: Duration, now: Instant = Clock.System.now()) =
    Call(
        request.identifier,
        request,
        PRICING,
        QueueOwner.Team(GRANITO),
        now,
        now + deadline,
        RequestFingerprint(request.identifier.text),
        reply,
    )

private val lastReservationNumber = AtomicLong()

internal fun reservationOf(port: Int, lease: Duration = 20.seconds, now: Instant = Clock.System.now()): Reservation {
    val endpoint = Endpoint(InstanceName("i1"), PRICING, ZONE_A, RackName("r"), "127.0.0.1:$port", 8, 8)
    return Reservation(lastReservationNumber.incrementAndGet(), endpoint, now, now + lease)
}
