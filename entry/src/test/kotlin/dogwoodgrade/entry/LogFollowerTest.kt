package dogwoodgrade.entry

import dogwoodgrade.control.ControlTable
import dogwoodgrade.logclient.AppendResult
import dogwoodgrade.logclient.LogService
import dogwoodgrade.logclient.ReadResult
import dogwoodgrade.logclient.StreamName
import dogwoodgrade.membership.ProbeResult
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.peer.PeerClient
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class LogFollowerTest {
    private val failure = Outcome.Failure(ResultCode.PeerUnreachable, "no peer")
    private val noPeers = PeerClient({ _, _ -> failure }, { _, _ -> failure }, { ProbeResult.NoAnswer })

    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a log that dropped records before any snapshot was written is not read in a loop without pause`() = runTest {
        var reads = 0
        val log =
            LogService(
                append = { _, _ -> AppendResult.Refused(ResultCode.LogUnreachable, "read only") },
                read = { stream, _, _, _ ->
                    if (++reads > MAX_READS) awaitCancellation()
                    if (stream == StreamName.Control) ReadResult.Dropped(Offset(10)) else emptyStream
                },
            )
        val time = { Instant.fromEpochMilliseconds(currentTime) }
        val table = ControlTable({ error("nothing is decoded") })
        val follower = LogFollower(log, noPeers, table, AtomicFreshness(time()), time, {})
        backgroundScope.launch { follower.follow() }
        advanceTimeBy(2.seconds)
        assertTrue(reads in 2..20, "$reads reads in 2 s")
    }

    private companion object {
        const val MAX_READS = 1_000
        val emptyStream = ReadResult.Records(emptyList(), Offset.Zero)
    }
}
