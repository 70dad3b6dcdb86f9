package dogwoodgrade.node

import dogwoodgrade.capacity.MaintenanceWave
import dogwoodgrade.platform.OperatorConfiguration
import dogwoodgrade.platform.OperatorRecord
import dogwoodgrade.platform.QueueRoute
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/** A maintenance wave and the time at which this process first read it. */
internal data class KnownWave(
    val wave: MaintenanceWave,
    val seenAt: Instant,
)

/**
 * Records that operators have published. A configuration replaces only a lower version, so that a late or stale read
 * never restores an older one.
 *
 * Guarded by its own lock (number 2 in the lock order of the node process).
 */
internal class ConfigurationTable {
    private var configuration: OperatorConfiguration? = null
    private val firstRead = CompletableDeferred<Unit>()
    private val evacuated = mutableSetOf<String>()
    private val waves = mutableMapOf<String, KnownWave>()

    /** Applies [records]. Evacuations and waves that are absent from a snapshot have been withdrawn. */
    @Synchronized
    fun apply(records: List<OperatorRecord>, snapshot: Boolean, now: Instant) {
        if (snapshot) {
            evacuated.retainAll(records.filterIsInstance<OperatorRecord.Evacuation>().map { it.zone }.toSet())
            waves.keys.retainAll(records.filterIsInstance<OperatorRecord.Wave>().map { it.number }.toSet())
        }
        for (record in records) {
            when (record) {
                is OperatorRecord.Configuration -> configure(record.configuration)
                is OperatorRecord.Evacuation -> evacuate(record)
                is OperatorRecord.Wave -> applyWave(record, now)
            }
        }
    }

    private fun configure(new: OperatorConfiguration) {
        val version = configuration?.version ?: -1
        if (new.version <= version) return
        configuration = new
        firstRead.complete(Unit)
        logger.info {
            "configuration: version=${new.version} previous=$version routes=${new.routes.size} keys=${new.keys.size}"
        }
    }

    private fun evacuate(record: OperatorRecord.Evacuation) {
        val changed = if (record.active) evacuated.add(record.zone) else evacuated.remove(record.zone)
        if (changed) logger.info { "configuration: evacuation zone=${record.zone} active=${record.active}" }
    }

    private fun applyWave(record: OperatorRecord.Wave, now: Instant) {
        val wave = record.wave
        if (wave == null) {
            waves -= record.number
            return
        }
        val knownWave = waves[record.number]
        if (knownWave?.wave == wave) return
        waves[record.number] = KnownWave(wave, knownWave?.seenAt ?: now)
        logger.info {
            "configuration: wave=${record.number} machines=${wave.machines.size} " +
                "duration=${wave.duration} at_once=${wave.machinesAtOnce}"
        }
    }

    /** Returns the newest configuration, or `null` if none has been read. */
    @Synchronized
    fun current(): OperatorConfiguration? = configuration

    /** Waits at most [limit] for the first configuration. Returns the newest, or `null` if none has been read. */
    suspend fun awaitCurrent(limit: Duration): OperatorConfiguration? {
        if (!firstRead.isCompleted) withTimeoutOrNull(limit) { firstRead.await() }
        return current()
    }

    /** Returns the availability zones that operators are evacuating. */
    @Synchronized
    fun evacuatedZones(): Set<String> = evacuated.toSet()

    /** Returns the maintenance waves in the order of their numbers. */
    @Synchronized
    fun waves(): List<KnownWave> = waves.values.sortedBy { it.wave.number }
}

/** Returns the route of [host] with the longest prefix of [path], or `null` if there is none. */
internal fun selectRoute(configuration: OperatorConfiguration, host: String, path: String): QueueRoute? =
    configuration.routes
        .filter { it.host == host && path.startsWith(it.pathPrefix) }
        .maxByOrNull { it.pathPrefix.length }
