package dogwoodgrade.configuration

import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version

/**
 * The configuration set by operators: a pure function of the accepted changes.
 *
 * Every process folds the same changes in the same order with [apply] and therefore has the same state at the same
 * offset. An instance refers to its pool, so it is in exactly one pool.
 *
 * @property keys team of each key, by the digest of the key
 */
public data class ConfigurationState(
    public val teams: Map<TeamName, Team>,
    public val keys: Map<KeyDigest, TeamName>,
    public val pools: Map<PoolName, Pool>,
    public val instances: Map<InstanceName, Instance>,
    public val zones: Map<AvailabilityZone, Zone>,
    public val documents: Map<DocumentKey, Document>,
) {
    private val poolsByService: Map<ServiceName, Pool> by lazy { pools.values.associateBy(Pool::service) }

    /**
     * Returns the team that [key] belongs to, or `null` if the key was never given to a team or was withdrawn.
     *
     * The lookup uses the SHA-256 digest, so its timing reveals nothing about valid keys.
     */
    public fun teamOf(key: KeyDigest): Team? = keys[key]?.let(teams::get)

    /** Returns the pool that serves [service], or `null` if there is none. */
    public fun poolOf(service: ServiceName): Pool? = poolsByService[service]

    /** Availability zones that operators have taken out of service. */
    public val zonesOutOfService: Set<AvailabilityZone>
        get() = zones.values.filter { !it.inService }.mapTo(HashSet()) { it.name }

    /** Returns the instances of [pool]. */
    public fun instancesOf(pool: PoolName): List<Instance> = instances.values.filter { it.pool == pool }

    /** Returns whether [zone] is in service. */
    public fun isInService(zone: AvailabilityZone): Boolean = zones[zone]?.inService ?: true

    /** Returns the version of [zone], or [Version.None] if no change of it was accepted. */
    public fun versionOf(zone: AvailabilityZone): Version = zones[zone]?.version ?: Version.None

    /** Returns whether [instance] may take new work: it is not draining, has not failed and its zone is in service. */
    public fun isUsable(instance: Instance): Boolean =
        !instance.draining && !instance.failed && isInService(instance.zone)

    public companion object {
        /** The state before the first change. */
        public val Empty: ConfigurationState =
            ConfigurationState(emptyMap(), emptyMap(), emptyMap(), emptyMap(), emptyMap(), emptyMap())
    }
}
