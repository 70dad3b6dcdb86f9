package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationChange.ObserveFailure
import dogwoodgrade.configuration.ConfigurationChange.ObserveRecovery
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.model.InstanceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class FailureObserverTest {
    private val state = fleet()
    private val all = state.instances.keys
    private val lost = InstanceName("p0-1")

    /** Takes one reading per second and returns the changes that the last one proposes. */
    private fun readings(from: ConfigurationState, lists: List<Set<InstanceName>>): List<ConfigurationChange> {
        var history = LiveListHistory()
        var last = emptyList<ConfigurationChange>()
        lists.forEachIndexed { second, listed ->
            val verdict = observeLiveList(from, history, listed, START + second.seconds)
            history = verdict.history
            last = verdict.changes
        }
        return last
    }

    @Test
    fun `an instance that stays missing is recorded as failed and one that flaps is not`() {
        val missing = List(11) { all - lost }
        assertEquals(listOf(ObserveFailure(lost)), readings(state, missing))
        assertEquals(emptyList(), readings(state, missing.dropLast(1)))
        assertEquals(
            emptyList(),
            readings(
                state,
                missing.mapIndexed { second, list ->
                    if (second ==
                        5
                    ) {
                        all
                    } else {
                        list
                    }
                },
            ),
        )
    }

    @Test
    fun `a failed instance that is listed again is recorded as recovered after five seconds`() {
        val failed = state.accept(fail(lost.text))
        assertEquals(emptyList(), readings(failed, List(5) { all }))
        assertEquals(listOf(ObserveRecovery(lost)), readings(failed, List(6) { all }))
    }

    @Test
    fun `an empty list causes no failures`() {
        assertEquals(emptyList(), readings(state, List(20) { emptySet() }))
    }

    @Test
    fun `an instance that drains for planned work is not a failure`() {
        assertEquals(emptyList(), readings(state.accept(drain(lost.text)), List(20) { all - lost }))
    }
}
