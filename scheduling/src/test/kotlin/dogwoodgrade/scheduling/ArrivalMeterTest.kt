package dogwoodgrade.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ArrivalMeterTest {
    private val start = Instant.fromEpochMilliseconds(1_000_000)
    private val step = Step(5, Resources(4_000, 1_000), estimate = 1.seconds)

    private fun job(vararg steps: Step) =
        Job(JobIdentifier("j"), "queue", "pool", null, "", steps.toList(), null, start)

    @Test
    fun `steady arrivals show the resources that they occupy`() {
        val meter = ArrivalMeter()
        // Ten jobs of 20 core-seconds each second occupy 200 cores.
        repeat(200) { meter.add("pool", job(step), start + 100.milliseconds * it) }
        val processor = meter.rate("pool", start + 20.seconds).processor
        assertTrue(processor in 170_000..230_000, "$processor")
    }

    /** Guards against a pool that keeps surplus machines after a burst. */
    @Test
    fun `the rate decays when nothing arrives`() {
        val meter = ArrivalMeter()
        meter.add("pool", job(step), start)
        assertEquals(20_000, meter.rate("pool", start).processor)
        assertTrue(meter.rate("pool", start + 3.seconds).processor < 1_100)
    }

    @Test
    fun `long-running steps do not count as arriving work`() {
        val meter = ArrivalMeter()
        meter.add("pool", job(step.copy(longRunning = true)), start)
        assertEquals(Resources.None, meter.rate("pool", start))
        assertEquals(Resources.None, meter.rate("other", start))
    }

    /** Guards against a pool that grows too late while a burst rises. */
    @Test
    fun `a rising rate is extrapolated to the time at which a machine could have joined`() {
        val meter = ArrivalMeter()
        // After 5 s, 50 jobs of 20 core-seconds arrive per second, and that rate rises by 10 each second.
        for (tenth in 1..50) {
            repeat(tenth / 10) { meter.add("pool", job(step), start + 100.milliseconds * tenth) }
        }
        val processor = meter.rate("pool", start + 5.seconds).processor
        // The demand rises by 200 cores per second for two more seconds.
        assertTrue(processor in 1_000_000..1_500_000, "$processor")
    }

    /** Guards against a calm pool that takes ten machines for one large job, because it looks like a rise. */
    @Test
    fun `one large job does not count as a rise`() {
        val meter = ArrivalMeter()
        meter.add("pool", job(step.copy(count = 16, request = Resources(9_000, 1_000), estimate = 2.seconds)), start)
        assertEquals(288_000, meter.rate("pool", start).processor)
    }
}
