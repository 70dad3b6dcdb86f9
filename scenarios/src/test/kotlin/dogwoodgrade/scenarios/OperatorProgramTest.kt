package dogwoodgrade.scenarios

import dogwoodgrade.model.ResultCode
import dogwoodgrade.operator.runOperator
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Tests the operator program with the log stand-in in a separate process.
 *
 * Guards against a lost update when two operators change the same version, against a change that takes effect twice
 * because a lost response makes the program append it again, and against an outage that is not reported as such.
 */
class OperatorProgramTest {
    @TempDir
    lateinit var folder: Path

    private lateinit var fleet: Fleet

    @BeforeTest
    fun start() {
        fleet = Fleet(folder)
        fleet.startLog()
    }

    @AfterTest
    fun stop() = fleet.close()

    private fun operator(vararg arguments: String): Pair<Int, String> {
        var text = ""
        val exit = runOperator(arrayOf(*arguments, "--json", "--log", "127.0.0.1:${fleet.logPort}")) { text = it }
        return exit to text
    }

    @Test
    fun `of two concurrent changes to the same version one is accepted and one is refused`() {
        val concurrent = List(2) { CompletableFuture.supplyAsync { operator("set-team", "granito", "--base", "0") } }
        val results = concurrent.map { it.join() }
        assertEquals(setOf(0, ResultCode.VersionConflict.exitStatus), results.map { it.first }.toSet(), "$results")
        assertTrue("\"version\":\"1\"" in operator("show").second)
    }

    @Test
    fun `an append whose response was lost takes effect once`() {
        fleet.setLogFaults("""{"loseAnswers":1}""")
        assertEquals(0, operator("set-team", "granito", "--upper-limit", "4").first)
        assertTrue("\"version\":\"1\"" in operator("show").second)
    }

    @Test
    fun `an outage of the log gives the exit status of its result code`() {
        fleet.setLogFaults("""{"outage":true}""")
        assertEquals(ResultCode.LogUnreachable.exitStatus, operator("state").first)
    }
}
