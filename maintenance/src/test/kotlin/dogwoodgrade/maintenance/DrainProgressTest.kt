package dogwoodgrade.maintenance

import dogwoodgrade.configuration.ConfigurationChange.ObserveFailure
import dogwoodgrade.configuration.ConfigurationChange.ReturnInstance
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.Offset
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class DrainProgressTest {
    private val instance = InstanceName("p0-0")
    private val entries = (1..2).map { EntryIdentity(EntryName("entry-$it"), 1) }
    private val state = fleet().accept(drain("p0-0"))
    private val followed = DrainObservations().trackDrains(state, Offset(10), START)

    private fun report(entry: Int, sequence: Long, inFlight: Int = 0, offset: Long = 10) =
        InFlightReport(entries[entry], sequence, Offset(offset), mapOf(instance to inFlight))

    private fun stepAfter(
        vararg reports: InFlightReport,
        after: Duration = 1.seconds,
        reboot: RebootProgress = RebootProgress.NotStarted,
    ): DrainStep {
        val observations = reports.fold(followed) { observations, report -> observations.record(report) }
        return planDrainSteps(state, observations, DrainEntries(entries), { reboot }, START + after).getValue(instance)
    }

    private fun waiting(vararg numbers: Int) = DrainStep.WaitForRequests(numbers.map { entries[it] }.toSet())

    @Test
    fun `an instance is rebooted only after two reports of zero from every entry`() {
        val first = arrayOf(report(0, 1), report(0, 2))
        assertEquals(waiting(0, 1), stepAfter())
        assertEquals(waiting(1), stepAfter(*first))
        assertEquals(waiting(1), stepAfter(*first, report(1, 1)))
        assertEquals(waiting(1), stepAfter(*first, report(1, 1), report(1, 1)), "the same report twice")
        assertEquals(waiting(1), stepAfter(*first, report(1, 1), report(1, 2, inFlight = 1)))
        assertEquals(waiting(1), stepAfter(*first, report(1, 1, inFlight = 1), report(1, 2)))
        assertEquals(DrainStep.Reboot(leaseExpired = false), stepAfter(*first, report(1, 1), report(1, 2)))
    }

    @Test
    fun `a report from before the drain was folded does not count`() {
        val early = arrayOf(report(0, 1), report(0, 2), report(1, 1, offset = 9), report(1, 2))
        assertEquals(waiting(1), stepAfter(*early))
    }

    @Test
    fun `an expired task lease permits the reboot although an entry is silent`() {
        val lease = 30.seconds + DrainObservations.LEASE_MARGIN
        assertEquals(waiting(0, 1), stepAfter(after = lease - 1.seconds))
        assertEquals(DrainStep.Reboot(leaseExpired = true), stepAfter(after = lease))
    }

    @Test
    fun `an ended entry holds back the reboot until its orphaned tasks have lost their lease`() {
        val idle = followed.record(report(0, 1)).record(report(0, 2))
        val lease = 30.seconds + DrainObservations.LEASE_MARGIN
        for ((ended, expected) in listOf(
            START - lease to waiting(1),
            START - lease - 1.seconds to DrainStep.Reboot(leaseExpired = false),
        )) {
            val drainEntries = DrainEntries(entries.take(1), mapOf(entries[1] to ended))
            val now = START - 1.seconds
            assertEquals(
                expected,
                planDrainSteps(state, idle, drainEntries, { RebootProgress.NotStarted }, now)[instance],
            )
        }
    }

    @Test
    fun `reports from before a second drain of the same instance do not count`() {
        val again = state.returnAll(START).accept(drain("p0-0", wave = "next"))
        val observations = followed.trackDrains(again, Offset(20), START + 60.seconds)
        val step = planDrainSteps(
            again,
            observations,
            DrainEntries(entries),
            { RebootProgress.NotStarted },
            START + 61.seconds,
        )
        assertEquals(waiting(0, 1), step.getValue(instance))
    }

    @Test
    fun `the result of the reboot is recorded`() {
        val returned = ReturnInstance(instance, "w", START + 1.seconds)
        assertEquals(DrainStep.Propose(returned), stepAfter(reboot = RebootProgress.Succeeded))
        assertEquals(DrainStep.WaitForReboot, stepAfter(reboot = RebootProgress.Running))
        assertEquals(DrainStep.Propose(ObserveFailure(instance)), stepAfter(reboot = RebootProgress.Failed))
        val failed = state.accept(fail("p0-0"))
        val step = planDrainSteps(
            failed,
            followed,
            DrainEntries(entries),
            { RebootProgress.Failed },
            START,
        ).getValue(instance)
        assertEquals(DrainStep.Propose(ReturnInstance(instance, "w", null)), step)
    }
}
