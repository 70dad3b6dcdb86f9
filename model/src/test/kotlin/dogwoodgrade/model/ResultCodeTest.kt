package dogwoodgrade.model

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class ResultCodeTest {
    @Test
    fun `numbers are unique`() {
        assertEquals(
            ResultCode.entries.size,
            ResultCode.entries
                .map { it.number }
                .toSet()
                .size,
        )
    }

    @Test
    fun `the documentation lists every code with its statuses`() {
        val rows =
            Files
                .readAllLines(Path.of("../docs/result-codes.md"))
                .mapNotNull { Regex("""^\| (\d+) \| (\w+) \| (\d+|-) \| (\d+) \|""").find(it)?.destructured?.toList() }
        val expected =
            ResultCode.entries.map { code ->
                val status = if (code.httpStatus == 0) "-" else code.httpStatus.toString()
                listOf(code.number.toString(), code.name, status, code.exitStatus.toString())
            }
        assertEquals(expected, rows)
    }
}
