package dogwoodgrade.load

import kotlin.test.Test
import kotlin.test.assertEquals

class SocketBytesTest {
    @Test
    fun `sockets of other ports and other processes are not counted in`() {
        val lines =
            listOf(
                """ESTAB 0 0 [::ffff:127.0.0.1]:4000 [::ffff:127.0.0.1]:37364 users:(("java",pid=7,fd=162))""",
                "\t bbr bytes_sent:303 bytes_acked:303 bytes_received:507 segs_out:4",
                """ESTAB 0 0 127.0.0.1:51000 127.0.0.1:4000 users:(("java",pid=8,fd=2))""",
                "\t bbr bytes_sent:10 bytes_received:20",
                """ESTAB 0 0 127.0.0.1:51001 127.0.0.1:4001 users:(("java",pid=8,fd=3))""",
                "\t bbr bytes_sent:1000 bytes_received:1000",
            )
        val expected = mapOf(7L to TrafficCount(303, 507), 8L to TrafficCount(10, 20))
        assertEquals(expected, SocketBytes.parse(lines, setOf(4000)))
    }
}
