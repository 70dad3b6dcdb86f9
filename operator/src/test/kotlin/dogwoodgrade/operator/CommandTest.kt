package dogwoodgrade.operator

import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.configuration.ConfigurationState
import dogwoodgrade.control.JoinedEntry
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.Offset
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Instant

/** Command-line parsing, confirmation by entries, output and keys. */
class CommandTest {
    private val log = InMemoryLog()
    private val now = Instant.fromEpochSeconds(1_000)

    private fun entry(name: String) =
        JoinedEntry(EntryIdentity(EntryName(name), 1), AvailabilityZone("a"), "$name:1", "$name:2", 2)

    private fun answer(name: String, offset: Long) =
        JsonObject(mapOf("entry" to JsonPrimitive("$name/1"), "offset" to JsonPrimitive(offset)))

    @Test
    fun `the base version of a change is the option or else the version that was read`() {
        val line = arrayOf("set-team", "granito", "--share", "2", "--log", "h:1", "--json")
        val state = applyAll(ConfigurationState.Empty, listOf(SetTeam(TeamName("granito"), 1, 4, null, Version.None)))
        val currentState = assertIs<Outcome.Success<ConfigurationState>>(state).value
        val command = assertIs<SetTeamCommand>(parseCommand(line))
        assertTrue(command.json)
        val read = SetTeam(TeamName("granito"), 2, 4, null, Version(1))
        assertEquals(Outcome.Success(listOf(read)), command.plan()(currentState))
        val based = assertIs<SetTeamCommand>(parseCommand(line + arrayOf("--base", "0")))
        assertEquals(Outcome.Success(listOf(read.copy(baseVersion = Version.None))), based.plan()(currentState))
    }

    @Test
    fun `entries that do not confirm a change are listed with the code NotConfirmed`() =
        runTest {
            val entries = listOf(entry("a1"), entry("a2"), entry("a3"))
            val query: EntryQuery = { address, _ ->
                when (address) {
                    "a1:2" -> answer("a1", 8)
                    // A state at offset 8 contains the record at offset 7; a state at offset 7 does not.
                    "a2:2" -> answer("a2", 7)
                    else -> null
                }
            }
            val missing = awaitConfirmation(entries, Offset(7), query, CONFIRMATION_TIMEOUT).map { "$it" }
            assertEquals(listOf("a2/1", "a3/1"), missing)
            val result = confirmedResult(Table("changes", emptyList(), emptyList()), missing, 3)
            assertEquals(ResultCode.NotConfirmed, result.code)
            assertTrue("a3/1" in textOf(result) && "\"code\":2020" in jsonOf(result))
        }

    @Test
    fun `a key is not stored in the log and can be withdrawn by its short digest`() =
        runTest {
            val context = OperatorContext(log.session("operator"), { _, _ -> null }, { now }, {})
            proposeAll(context) { Outcome.Success(listOf(SetTeam(TeamName("granito"), 1, 4, null, Version.None))) }
            val given = GiveKeyCommand {}.apply { parse(arrayOf("granito", "--log", "h:1")) }.run(context)
            val key = given.tables
                .single { it.title == "key" }
                .rows
                .single()
                .single()
            val digest = KeyDigest.of(key)
            assertEquals(setOf(digest), context.session.state.configuration.keys.keys)
            assertTrue(log.control.none { key in it.decodeToString() })
            assertEquals(digest, resolveDigest("$digest", setOf(digest, KeyDigest.of("other"))))
            assertEquals(digest, resolveDigest(key, setOf(digest)))
            val line = arrayOf("$digest", "--log", "h:1")
            assertEquals(ResultCode.Accepted, WithdrawKeyCommand {}.apply { parse(line) }.run(context).code)
        }
}
