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

/** A maintenance wave with the time at which this process learned of it. */
internal data class KnownWave(
    val wave: MaintenanceWave,
    val seenAt: Instant,
)

/**
 * What operators have published. Configurations apply by version, so that a late or stale read never goes back.
 *
 * Guarded by its own lock (number 2 in the lock order).
 */
internal class ConfigurationTable {
    private var configuration: OperatorConfiguration? = null
    private val firstRead = CompletableDeferred<Unit>()
    private val evacuated = mutableSetOf<String>()
    private val waves = mutableMapOf<String, KnownWave>()

    /** Applies records; in a snapshot, evacuations and waves that are absent have been withdrawn. */
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
        val known = waves[record.number]
        if (known?.wave == wave) return
        waves[record.number] = KnownWave(wave, known?.seenAt ?: now)
        logger.info {
            "configuration: wave=${record.number} machines=${wave.machines.size} " +
                "duration=${wave.duration} at_once=${wave.machinesAtOnce}"
        }
    }

    /** The newest configuration, or `null` while none was read. */
    @Synchronized
    fun current(): OperatorConfiguration? = configuration

    /** Waits at most [limit] for the first configuration and returns the newest, or `null` if none was read. */
    suspend fun awaitCurrent(limit: Duration): OperatorConfiguration? {
        if (!firstRead.isCompleted) withTimeoutOrNull(limit) { firstRead.await() }
        return current()
    }

    /** Availability zones that operators have taken out. */
    @Synchronized
    fun evacuatedZones(): Set<String> = evacuated.toSet()

    /** Maintenance waves in the order of their numbers. */
    @Synchronized
    fun waves(): List<KnownWave> = waves.values.sortedBy { it.wave.number }
}

/** Returns the route whose prefix is the longest that [path] begins with. */
internal fun selectRoute(configuration: OperatorConfiguration, host: String, path: String): QueueRoute? =
    configuration.routes
        .filter { it.host == host && path.startsWith(it.pathPrefix) }
        .maxByOrNull { it.pathPrefix.length }
