package dogwoodgrade.configuration

import dogwoodgrade.configuration.ConfigurationChange.GiveKey
import dogwoodgrade.configuration.ConfigurationChange.MoveInstance
import dogwoodgrade.configuration.ConfigurationChange.SetDocument
import dogwoodgrade.configuration.ConfigurationChange.SetZone
import dogwoodgrade.configuration.ConfigurationChange.WithdrawKey
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.DocumentName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours

class ApplyChangeTest {
    private val state = sampleState()
    private val team = TeamName("t")
    private val digest = KeyDigest.of("secret")

    @Test
    fun `of two operators who edit the same team one is accepted and one refused`() {
        val first = state.accept(setTeam("t", upperLimit = 5, base = 1))
        assertRefused(ResultCode.VersionConflict, first.apply(setTeam("t", upperLimit = 50, base = 1)))
        assertEquals(5, first.teams.getValue(team).upperLimit)
    }

    @Test
    fun `of two operators who move the same instance one is accepted and one refused`() {
        val move = MoveInstance(InstanceName("i1"), PoolName("p"), PoolName("spare"))
        val moved = state.accept(move)
        assertRefused(ResultCode.InstanceInOtherPool, moved.apply(move))
        assertEquals(PoolName("spare"), moved.instances.getValue(InstanceName("i1")).pool)
    }

    @Test
    fun `a withdrawn key belongs to no team`() {
        val given = state.accept(GiveKey(team, digest))
        assertEquals(team, given.teamOf(digest)?.name)
        assertNull(given.accept(WithdrawKey(team, digest)).teamOf(digest))
    }

    @Test
    fun `a key is never given to two teams`() {
        val other = state.accept(setTeam("other")).accept(GiveKey(team, digest))
        assertRefused(ResultCode.KeyTaken, other.apply(GiveKey(TeamName("other"), digest)))
    }

    @Test
    fun `a zone goes out of service once for two racing operators`() {
        val out = SetZone(AvailabilityZone("a"), inService = false, baseVersion = Version.None)
        val after = state.accept(out)
        assertTrue(!after.isInService(AvailabilityZone("a")))
        assertRefused(ResultCode.VersionConflict, after.apply(out))
    }

    @Test
    fun `a document keeps the contents of two schema versions`() {
        val old = SetDocument(DocumentName("prices"), 1, "old", Version.None)
        val both = state.accept(old).accept(old.copy(schemaVersion = 2, content = "new"))
        assertEquals("old", both.documents.getValue(DocumentKey(DocumentName("prices"), 1)).content)
        assertEquals("new", both.documents.getValue(DocumentKey(DocumentName("prices"), 2)).content)
    }

    @Test
    fun `values outside their range are refused`() {
        val cases =
            listOf(
                setTeam("n", upperLimit = -1),
                setTeam("n").copy(share = 0),
                setPool("n").copy(slotsPerEndpoint = 0),
                setPool("n").copy(taskLease = 1.hours),
                addInstance("n", "p", "a").copy(address = "no-port"),
                SetDocument(DocumentName("d"), 1, "x".repeat(Document.MAX_CONTENT_BYTES + 1), Version.None),
            )
        for (change in cases) assertRefused(ResultCode.InvalidValue, state.apply(change))
    }

    @Test
    fun `a second pool cannot take over a service`() {
        val second = setPool("second").copy(service = state.pools.getValue(PoolName("p")).service)
        assertRefused(ResultCode.AlreadyExists, state.apply(second))
    }
}
