package dogwoodgrade.routing

import dogwoodgrade.model.TeamName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class RetryBudgetTableTest {
    private val team = TeamName("atelier")

    private fun RetryBudgetTable.granted(second: Int, asked: Int, of: TeamName = team): Int =
        (1..asked).count { takeRetry(of, START + second.seconds) == RetryBudgetAnswer.Granted }

    @Test
    fun `retries are a tenth of the recent requests, so a failing pool does not multiply its load`() {
        val table = RetryBudgetTable()
        repeat(200) { table.recordRequest(team, START) }
        assertEquals(15, table.granted(second = 0, asked = 15))
        assertEquals(5, table.granted(second = 5, asked = 50))
        assertEquals(1, table.granted(second = 9, asked = 50))
        assertEquals(1, table.granted(second = 0, asked = 50, of = TeamName("other")), "each team has its own budget")
    }

    @Test
    fun `one retry per second is granted to a team with few requests`() {
        val table = RetryBudgetTable()
        table.recordRequest(team, START)
        assertEquals(List(20) { 1 }, List(20) { table.granted(second = it, asked = 5) })
    }

    @Test
    fun `an idle team is removed with its budget`() {
        val table = RetryBudgetTable()
        repeat(100) { table.recordRequest(team, START) }
        table.removeIdle(START + 9.seconds)
        assertEquals(10, table.granted(second = 9, asked = 20))
        table.removeIdle(START + 30.seconds)
        assertEquals(1, table.granted(second = 30, asked = 20))
    }
}
