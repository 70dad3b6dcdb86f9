package dogwoodgrade.routing

import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Age up to which a peer's report counts in full; reports reach every entry within about two exchanges of 1 s. */
private val FULL_WEIGHT_AGE = 2.seconds

/** Age at which a peer's report no longer counts; an entry that sends nothing for this long counts as absent. */
private val ZERO_WEIGHT_AGE = 10.seconds

/** Latest load report of each peer, indexed by instance. Not thread-safe; guarded by the lock of [EndpointTable]. */
internal class PeerLoads {
    private val latest = HashMap<EntryName, PeerReport>()
    private val byInstance = HashMap<InstanceName, Map<EntryName, Int>>()

    /** Replaces the report of [entry], unless a later one or one of a later incarnation is known. */
    fun report(entry: EntryIdentity, loads: Map<InstanceName, Int>, takenAt: Instant) {
        val report = PeerReport(entry, takenAt, loads.filterValues { it > 0 })
        val previous = latest[entry.name]
        if (previous != null && compareValuesBy(previous, report, PeerReport::entry, PeerReport::takenAt) > 0) return
        remove(entry.name)
        latest[entry.name] = report
        for ((instance, load) in report.loads) {
            byInstance[instance] = byInstance[instance].orEmpty() + (entry.name to load)
        }
    }

    fun removeOld(now: Instant) {
        latest.values.filter { now - it.takenAt >= ZERO_WEIGHT_AGE }.forEach { remove(it.entry.name) }
    }

    /** Returns the requests in flight on [instance] that peers have reported, with less weight for old reports. */
    fun loadOf(instance: InstanceName, now: Instant): Double =
        byInstance[instance].orEmpty().entries.sumOf { (name, load) -> load * weightOf(latest.getValue(name), now) }

    private fun weightOf(report: PeerReport, now: Instant): Double {
        val progress = (now - report.takenAt - FULL_WEIGHT_AGE) / (ZERO_WEIGHT_AGE - FULL_WEIGHT_AGE)
        return 1 - progress.coerceIn(0.0, 1.0)
    }

    private fun remove(name: EntryName) {
        val report = latest.remove(name) ?: return
        for (instance in report.loads.keys) {
            val rest = byInstance.getValue(instance) - name
            if (rest.isEmpty()) byInstance.remove(instance) else byInstance[instance] = rest
        }
    }

    private data class PeerReport(val entry: EntryIdentity, val takenAt: Instant, val loads: Map<InstanceName, Int>)
}
