package dogwoodgrade.membership

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FreshnessTest {
    private val running = Freshness(lastTick = START).confirmed(START)
    private val resumed = START + 5.seconds
    private val paused = running.tick(resumed)

    private fun Freshness.tickedUntil(seconds: Double): Freshness {
        var state = this
        while (state.lastTick < START + seconds.seconds) state = state.tick(state.lastTick + 100.milliseconds)
        return state
    }

    /** Guards against a bound of the age that is off by one tick. */
    @Test
    fun `a configuration is fresh up to an age of 2 s and stale above`() {
        val state = running.tickedUntil(2.1)
        assertIs<FreshnessStatus.Fresh>(state.status(START + 2.seconds))
        assertEquals(FreshnessStatus.Stale(2_001.milliseconds), state.status(START + 2_001.milliseconds))
        assertEquals(FreshnessStatus.Stale(null), Freshness(lastTick = START).status(START))
    }

    /** Guards against an entry that counts as fresh because peers keep passing an old contact among themselves. */
    @Test
    fun `the contact age of a peer and the round trip count as age`() {
        val state = running.tickedUntil(4.0).confirmed(START + 3.seconds, peerAge = 800.milliseconds)
        assertEquals(1_800.milliseconds, state.age(START + 4.seconds))
        assertEquals(state, state.confirmed(START + 3.seconds, peerAge = 5.seconds))
    }

    /** Guards against tasks that start after a pause before the first tick has run. */
    @Test
    fun `a pause is seen before the first tick after it`() {
        assertIs<FreshnessStatus.Fresh>(running.status(START + 1.seconds))
        assertIs<FreshnessStatus.Verifying>(running.status(START + 1_001.milliseconds))
    }

    /** Guards against a check that ends with an answer to a request from before the pause, or of a stale peer. */
    @Test
    fun `only a request sent after the pause and answered by a fresh path ends the check`() {
        assertEquals(FreshnessStatus.Verifying(resumed), paused.status(resumed))
        val before = paused.confirmed(resumed - 1.milliseconds)
        assertIs<FreshnessStatus.Verifying>(before.status(resumed))
        val stalePeer = paused.confirmed(resumed, peerAge = 2_001.milliseconds)
        assertIs<FreshnessStatus.Verifying>(stalePeer.status(resumed))
        assertIs<FreshnessStatus.Fresh>(paused.confirmed(resumed, peerAge = 1.seconds).status(resumed))
    }

    /** Guards against entries of a partitioned zone that refuse all work after a pause. */
    @Test
    fun `the check ends as stale when every path has failed or none answers within 1 s`() {
        assertEquals(FreshnessStatus.Stale(5.seconds), paused.everyPathFailed(resumed).status(resumed))
        assertIs<FreshnessStatus.Verifying>(paused.everyPathFailed(resumed - 1.seconds).status(resumed))
        assertIs<FreshnessStatus.Verifying>(paused.tickedUntil(5.9).status(START + 5.9.seconds))
        assertEquals(FreshnessStatus.Stale(6.seconds), paused.tickedUntil(6.0).status(START + 6.seconds))
    }

    /** Guards against a second pause that counts as the time in which no path answered, and so ends the check. */
    @Test
    fun `a second pause starts the check again`() {
        val again = paused.tick(resumed + 2.seconds)
        assertEquals(FreshnessStatus.Verifying(resumed + 2.seconds), again.status(resumed + 2.seconds))
    }
}
