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
        val rig = DispatcherRig(permits = 1)
        val (caller, _) = rig.arrive(requestOf("first"))
        rig.arrive(requestOf("second"))
        rig.end(rig.sent.single(), FailedBeforeHead)
        assertEquals(ResultCode.OutcomeUnknown to Execution.Unknown, rig.codeOf(caller) to caller.refusal?.execution)
        rig.advance(4_900.milliseconds)
        assertEquals(1 to 1, rig.inUse() to rig.sent.size)
        rig.advance(200.milliseconds)
        assertEquals(1 to 2, rig.inUse() to rig.sent.size)
    }

    @Test
    fun `an idempotent retry after an unknown outcome takes a permit of its own on another instance`() {
        val rig = DispatcherRig(permits = 2)
        rig.arrive(requestOf("first", idempotent = true))
        rig.end(rig.sent.single(), FailedBeforeHead)
        rig.advance(100.milliseconds)
        assertEquals(2 to 2, rig.inUse() to rig.sent.size)
        assertEquals(
            2,
            rig.sent
                .map { it.reservation.endpoint.instance }
                .toSet()
                .size,
        )
        val single = DispatcherRig(permits = 1)
        single.arrive(requestOf("first", idempotent = true))
        single.end(single.sent.single(), FailedBeforeHead)
        single.advance(4_500.milliseconds)
        assertEquals(1, single.sent.size, "the retry used the permit of the first attempt")
    }

    @Test
    fun `a caller that leaves while waiting or in backoff starts nothing and while running keeps the permit`() {
        val rig = DispatcherRig(permits = 1)
        val (_, leaveRunning) = rig.arrive(requestOf("running"))
        val (_, leaveWaiting) = rig.arrive(requestOf("waiting"))
        leaveWaiting()
        leaveRunning()
        assertEquals(1 to 1, rig.inUse() to rig.tables.requests.size)
        rig.end(rig.sent.single(), Complete(200))
        assertEquals(0 to 0, rig.inUse() to rig.tables.requests.size)
        val (_, leaveBackoff) = rig.arrive(requestOf("backoff"))
        rig.end(rig.sent.last(), NotRun)
        leaveBackoff()
        rig.advance(1.seconds)
        assertEquals(2, rig.sent.size)
        assertEquals(0 to 0, rig.inUse() to rig.tables.requests.size)
    }

    @Test
    fun `a key withdrawn between admission and the first byte starts nothing`() {
        val rig = DispatcherRig(permits = 2)
        val (caller, _) = rig.arrive(requestOf("key"))
        rig.apply(rig.configure(withdraw))
        rig.end(rig.sent.single(), Complete(200))
        assertEquals(ResultCode.UnknownKey to Execution.No, rig.codeOf(caller) to caller.refusal?.execution)
        assertEquals(0, rig.inUse())
    }

    @Test
    fun `a zone taken out between the choice of an endpoint and the first byte gets nothing`() {
        val zones = DispatcherRig(permits = 2)
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
        val rig = DispatcherRig(permits = 2)
        val (caller, _) = rig.arrive(requestOf("first", idempotent = true))
        rig.end(rig.sent.single(), FailedBeforeHead)
        rig.apply(rig.configure(withdraw))
        rig.advance(1.seconds)
        assertEquals(ResultCode.UnknownKey to Execution.Unknown, rig.codeOf(caller) to caller.refusal?.execution)
    }

    @Test
    fun `a request that a busy endpoint refused starts elsewhere with one permit`() {
        val rig = DispatcherRig(permits = 2)
        val (caller, _) = rig.arrive(requestOf("first"))
        rig.end(rig.sent.single(), Busy)
        assertEquals(1 to 2, rig.inUse() to rig.sent.size)
        rig.end(rig.sent.last(), Complete(200))
        assertEquals(0, rig.inUse())
        assertNull(rig.codeOf(caller))
    }

    @Test
    fun `a request whose deadline passes while it waits is refused as not run`() {
        val rig = DispatcherRig(permits = 1)
        rig.arrive(requestOf("running"))
        val (caller, _) = rig.arrive(requestOf("waiting", timeout = 500.milliseconds))
        rig.advance(600.milliseconds)
        assertEquals(ResultCode.DeadlineTooShort to Execution.No, rig.codeOf(caller) to caller.refusal?.execution)
        rig.end(rig.sent.single(), Complete(200))
        assertEquals(1, rig.sent.size)
    }

    @Test
    fun `nothing starts after a pause until a path has confirmed the configuration`() {
        val rig = DispatcherRig(permits = 2)
        rig.now += 10.seconds
        val (caller, _) = rig.arrive(requestOf("first"))
        rig.advance(500.milliseconds, confirmed = false)
        assertEquals(0, rig.sent.size)
        rig.apply(rig.configure(withdraw))
        rig.advance(100.milliseconds)
        assertEquals(0 to ResultCode.UnknownKey, rig.sent.size to rig.codeOf(caller))
        val paused = DispatcherRig(permits = 2)
        paused.arrive(requestOf("chosen"))
        paused.now += 10.seconds
        assertEquals(false, paused.sent.single().mayStart())
    }

    @Test
    fun `admission follows the configuration and its age`() {
        val rig = DispatcherRig(permits = 1)
        val state = rig.tables.control.state
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
