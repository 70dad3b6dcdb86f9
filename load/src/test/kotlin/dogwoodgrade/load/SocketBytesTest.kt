package dogwoodgrade.load

import kotlin.test.Test
import kotlin.test.assertEquals

class SocketBytesTest {
    private fun sample(vararg counts: Pair<SocketEnd, TrafficCount>): Map<SocketEnd, TrafficCount> = mapOf(*counts)

    private val socket = SocketEnd(8, listOf("127.0.0.1:51000", "127.0.0.1:4000"))

    @Test
    fun `the counts of a socket are not taken from the line of another one`() {
        val lines =
            listOf(
                """ESTAB 0 0 [::ffff:127.0.0.1]:4000 [::ffff:127.0.0.1]:37364 users:(("java",pid=7,fd=162))""",
                "\t bbr bytes_sent:303 bytes_acked:303 bytes_received:507 segs_out:4",
                """ESTAB 0 0 127.0.0.1:51000 127.0.0.1:4000 users:(("java",pid=8,fd=2))""",
                "\t bbr bytes_sent:10 bytes_received:20",
            )
        val mappedSocket = SocketEnd(7, listOf("[::ffff:127.0.0.1]:4000", "[::ffff:127.0.0.1]:37364"))
        assertEquals(
            sample(mappedSocket to TrafficCount(303, 507), socket to TrafficCount(10, 20)),
            SocketBytes.parse(lines),
        )
    }

    @Test
    fun `sockets of other ports and other processes are not counted in`() {
        val sum = TrafficSum()
        sum.add(emptyMap())
        sum.add(
            sample(
                socket to TrafficCount(10, 20),
                socket.copy(process = 7) to TrafficCount(100, 100),
                socket.copy(addresses = listOf("127.0.0.1:51001", "127.0.0.1:4001")) to TrafficCount(100, 100),
            ),
        )
        assertEquals(30, sum.bytesOf(8, setOf(4000)))
    }

    @Test
    fun `a socket that is closed does not lower the sum`() {
        val sum = TrafficSum()
        sum.add(sample(socket to TrafficCount(100, 100)))
        sum.add(sample(socket to TrafficCount(110, 120)))
        sum.add(emptyMap())
        assertEquals(30, sum.bytesOf(8, setOf(4000)))
    }
}
