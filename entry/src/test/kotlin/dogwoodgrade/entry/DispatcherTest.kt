package dogwoodgrade.entry

import dogwoodgrade.configuration.ConfigurationChange.SetZone
import dogwoodgrade.configuration.ConfigurationChange.WithdrawKey
import dogwoodgrade.control.ControlState
import dogwoodgrade.membership.FreshnessStatus
import dogwoodgrade.model.Execution
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.Version
import dogwoodgrade.model.failureOrNull
import dogwoodgrade.routing.AttemptResult.Busy
import dogwoodgrade.routing.AttemptResult.Complete
import dogwoodgrade.routing.AttemptResult.FailedBeforeHead
import dogwoodgrade.routing.AttemptResult.NotRun
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the decisions of the dispatcher about requests, without sockets and in virtual time. */
class DispatcherTest {
    private val withdraw = WithdrawKey(GRANITO, KeyDigest.of("secret"))
    private val takeZoneOut = SetZone(ZONE_A, false, Version.None)

    @Test
    fun `a permit is held until the lease has expired when the outcome is unknown`() {
        val fixture = DispatcherFixture(permits = 1)
        val (caller, _) = fixture.arrive(requestOf("first"))
        fixture.arrive(requestOf("second"))
        fixture.end(fixture.sent.single(), FailedBeforeHead)
        assertEquals(
            ResultCode.OutcomeUnknown to Execution.Unknown,
            fixture.codeOf(caller) to caller.refusal?.execution,
        )
        fixture.advance(4_900.milliseconds)
        assertEquals(1 to 1, fixture.inUse() to fixture.sent.size)
        fixture.advance(200.milliseconds)
        assertEquals(1 to 2, fixture.inUse() to fixture.sent.size)
    }

    @Test
    fun `an idempotent retry after an unknown outcome takes a permit of its own on another instance`() {
        val fixture = DispatcherFixture(permits = 2)
        fixture.arrive(requestOf("first", idempotent = true))
        fixture.end(fixture.sent.single(), FailedBeforeHead)
        fixture.advance(100.milliseconds)
        assertEquals(2 to 2, fixture.inUse() to fixture.sent.size)
        assertEquals(
            2,
            fixture.sent
                .map { it.reservation.endpoint.instance }
                .toSet()
                .size,
        )
        val single = DispatcherFixture(permits = 1)
        single.arrive(requestOf("first", idempotent = true))
        single.end(single.sent.single(), FailedBeforeHead)
        single.advance(4_500.milliseconds)
        assertEquals(1, single.sent.size, "the retry used the permit of the first attempt")
    }

    @Test
    fun `a caller that leaves while waiting or in backoff starts nothing and while running keeps the permit`() {
        val fixture = DispatcherFixture(permits = 1)
        val (_, leaveRunning) = fixture.arrive(requestOf("running"))
        val (_, leaveWaiting) = fixture.arrive(requestOf("waiting"))
        leaveWaiting()
        leaveRunning()
        assertEquals(1 to 1, fixture.inUse() to fixture.tables.requests.size)
        fixture.end(fixture.sent.single(), Complete(200))
        assertEquals(0 to 0, fixture.inUse() to fixture.tables.requests.size)
        val (_, leaveBackoff) = fixture.arrive(requestOf("backoff"))
        fixture.end(fixture.sent.last(), NotRun)
        leaveBackoff()
        fixture.advance(1.seconds)
        assertEquals(2, fixture.sent.size)
        assertEquals(0 to 0, fixture.inUse() to fixture.tables.requests.size)
    }

    @Test
    fun `a key withdrawn between admission and the first byte starts nothing`() {
        val fixture = DispatcherFixture(permits = 2)
        val (caller, _) = fixture.arrive(requestOf("key"))
        fixture.apply(fixture.configure(withdraw))
        fixture.end(fixture.sent.single(), Complete(200))
        assertEquals(ResultCode.UnknownKey to Execution.No, fixture.codeOf(caller) to caller.refusal?.execution)
        assertEquals(0, fixture.inUse())
    }

    @Test
    fun `a zone taken out between the choice of an endpoint and the first byte gets nothing`() {
        val zones = DispatcherFixture(permits = 2)
        zones.arrive(requestOf("zone"))
        assertEquals(
            ZONE_A,
            zones.sent
                .single()
                .reservation.endpoint.zone,
        )
        zones.apply(zones.configure(takeZoneOut))
        zones.end(zones.sent.single(), Complete(200))
        assertEquals(listOf("a", "b"), zones.sent.map { it.reservation.endpoint.zone.text })
        assertEquals(1, zones.inUse())
    }

    @Test
    fun `a refusal of a retry does not claim that the first attempt did not run`() {
        val fixture = DispatcherFixture(permits = 2)
        val (caller, _) = fixture.arrive(requestOf("first", idempotent = true))
        fixture.end(fixture.sent.single(), FailedBeforeHead)
        fixture.apply(fixture.configure(withdraw))
        fixture.advance(1.seconds)
        assertEquals(ResultCode.UnknownKey to Execution.Unknown, fixture.codeOf(caller) to caller.refusal?.execution)
    }

    @Test
    fun `a request that a busy endpoint refused starts elsewhere with one permit`() {
        val fixture = DispatcherFixture(permits = 2)
        val (caller, _) = fixture.arrive(requestOf("first"))
        fixture.end(fixture.sent.single(), Busy)
        assertEquals(1 to 2, fixture.inUse() to fixture.sent.size)
        fixture.end(fixture.sent.last(), Complete(200))
        assertEquals(0, fixture.inUse())
        assertNull(fixture.codeOf(caller))
    }

    @Test
    fun `a request whose deadline passes while it waits is refused as not run`() {
        val fixture = DispatcherFixture(permits = 1)
        fixture.arrive(requestOf("running"))
        val (caller, _) = fixture.arrive(requestOf("waiting", timeout = 500.milliseconds))
        fixture.advance(600.milliseconds)
        assertEquals(ResultCode.DeadlineTooShort to Execution.No, fixture.codeOf(caller) to caller.refusal?.execution)
        fixture.end(fixture.sent.single(), Complete(200))
        assertEquals(1, fixture.sent.size)
    }

    @Test
    fun `nothing starts after a pause until a path has confirmed the configuration`() {
        val fixture = DispatcherFixture(permits = 2)
        fixture.now += 10.seconds
        val (caller, _) = fixture.arrive(requestOf("first"))
        fixture.advance(500.milliseconds, confirmed = false)
        assertEquals(0, fixture.sent.size)
        fixture.apply(fixture.configure(withdraw))
        fixture.advance(100.milliseconds)
        assertEquals(0 to ResultCode.UnknownKey, fixture.sent.size to fixture.codeOf(caller))
        val paused = DispatcherFixture(permits = 2)
        paused.arrive(requestOf("chosen"))
        paused.now += 10.seconds
        assertEquals(false, paused.sent.single().mayStart())
    }

    @Test
    fun `admission follows the configuration and its age`() {
        val fixture = DispatcherFixture(permits = 1)
        val state = fixture.tables.control.state
        val fresh = FreshnessStatus.Fresh(0.seconds)
        val wrong = requestOf("wrong").copy(key = KeyDigest.of("wrong"))
        val rows =
            listOf(
                Triple(ControlState.Empty to requestOf("r"), fresh, ResultCode.Starting),
                Triple(state to requestOf("r", service = "none"), fresh, ResultCode.UnknownService),
                Triple(state to requestOf("r").copy(key = null), fresh, ResultCode.MissingKey),
                Triple(state to wrong, fresh, ResultCode.UnknownKey),
                Triple(state to requestOf("r"), FreshnessStatus.Stale(6.seconds), ResultCode.RefusedWhenStale),
                Triple(state to requestOf("r"), FreshnessStatus.Stale(null), ResultCode.RefusedWhenStale),
                Triple(state to requestOf("r"), FreshnessStatus.Stale(4.seconds), null),
                Triple(state to requestOf("r", service = "open").copy(key = null), FreshnessStatus.Stale(null), null),
            )
        for ((input, freshness, code) in rows) {
            assertEquals(code, admit(input.first, input.second, freshness).failureOrNull()?.code, "$input $freshness")
        }
    }
}
