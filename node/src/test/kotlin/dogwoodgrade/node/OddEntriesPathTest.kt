package dogwoodgrade.node

import dogwoodgrade.platform.standin.StandInExecutor
import kotlinx.coroutines.delay
import kotlin.test.Test
import kotlin.test.assertEquals

/** Runs entry instances against the stand-in platform, whose records and callers are odd. */
class OddEntriesPathTest {
    private fun TestPlatform.submit(job: String, body: String = TestPlatform.TWO_STEPS): Int =
        call(nodes[0], "POST", "/queue/$job", body).first

    private suspend fun TestPlatform.awaitCompleted(job: String) =
        await("$job completed") { call(nodes[0], "GET", "/queue/$job").second == """{"state":"completed"}""" }

    /** Guards against an owner that ends, or no longer follows the live list, because of one entry in it. */
    @Test
    fun `odd entries among the executors neither end the owner nor hide executors that register later`() =
        onPlatform(executors = 1, nodes = 0) {
            val early = ODD_ENTRIES.entries.take(ODD_ENTRIES.size / 2)
            early.forEach { (key, value) -> store.write(EXECUTORS, key, value) }
            awaitReady(startNode("entry-0"))
            assertEquals(200, submit("a1"))
            awaitCompleted("a1")
            (ODD_ENTRIES.entries - early.toSet()).forEach { (key, value) -> store.write(EXECUTORS, key, value) }
            val late = StandInExecutor(executorVertx, "late", "pool", "zone-a", 300)
            executors += late
            store.write(EXECUTORS, "late", late.start())
            repeat(6) { job -> assertEquals(200, submit("b$job", WIDE)) }
            repeat(6) { job -> awaitCompleted("b$job") }
            await("runs on the late executor") { late.startedRuns.isNotEmpty() }
        }

    /** Guards against an executor that is lost for good because another writer gave it a start in the far future. */
    @Test
    fun `an executor whose entry was odd for a while is used once it reports again`() =
        onPlatform(executors = 0, nodes = 0) {
            val executor = StandInExecutor(executorVertx, "x0", "pool", "zone-a", 300)
            executors += executor
            val entry = executor.start()
            awaitReady(startNode("entry-0"))
            store.write(EXECUTORS, "x0", entry.replace(Regex(""""born":\d+"""), """"born":9000000000000000"""))
            delay(500)
            store.write(EXECUTORS, "x0", entry)
            assertEquals(200, submit("a1"))
            awaitCompleted("a1")
        }

    /** Guards against tasks that start on an executor whose entry another writer has replaced. */
    @Test
    fun `an executor whose entry has become malformed gets no new tasks until it reports again`() =
        onPlatform(executors = 1, nodes = 0) {
            awaitReady(startNode("entry-0"))
            assertEquals(200, submit("a1"))
            awaitCompleted("a1")
            store.write(EXECUTORS, "x0", """{"state":"ready"}""")
            delay(1000)
            val before = executors.single().startedRuns.size
            assertEquals(200, submit("a2"))
            delay(1000)
            assertEquals(before, executors.single().startedRuns.size)
            store.write(EXECUTORS, "x0", executors.single().report())
            awaitCompleted("a2")
        }

    /** Guards against records in the topics of the processes themselves that end each process that reads them. */
    @Test
    fun `odd records of the log neither end a process nor hide later ones`() =
        onPlatform(executors = 1, nodes = 0) {
            val keys = listOf("job/odd", "cancel/odd", "progress/odd", "state/odd", "executor/odd", "maintained/")
            for (topic in listOf("jobs", "progress", "job-states")) {
                ODD_RECORDS.forEachIndexed { number, value ->
                    keys.forEach { store.write("keyed.dogwoodgrade-$topic", "$it$number", value) }
                    listOf(
                        "owner",
                        "handover",
                        "jobs-read",
                    ).forEach { store.write("keyed.dogwoodgrade-$topic", it, value) }
                }
            }
            store.write("keyed.op", "wave/1", """{"wave":1,"machines":["m"],"duration-s":NaN,"cap":1e400}""")
            store.write("keyed.op", "wave/2", NESTED)
            awaitReady(startNode("entry-0"))
            assertEquals(200, submit("a1"))
            awaitCompleted("a1")
        }

    /** Guards against callers that end the process, or whose job the owner cannot hold in memory. */
    @Test
    fun `odd requests of callers are malformed and later ones are served`() =
        onPlatform(executors = 1, nodes = 0) {
            awaitReady(startNode("entry-0"))
            val names = listOf("a".repeat(65), "a".repeat(300), "a.b", "a/b", "a@b", "a%20b", "%00", "%C3%A9", "..")
            for (name in names) {
                for (verb in listOf("POST", "GET", "DELETE")) {
                    val body = TestPlatform.TWO_STEPS.takeIf { verb == "POST" }
                    assertEquals(400, call(nodes[0], verb, "/queue/$name", body).first, "$verb $name")
                }
            }
            assertEquals(400, submit("a1", NESTED))
            assertEquals(400, submit("a1", """{"spec":"x","steps":[{"count":1000000000,"cpu":1}]}"""))
            assertEquals(400, submit("a1", """{"spec":"x","steps":[{"count":1}],"repeat-count":1000000000}"""))
            assertEquals(400, submit("a1", """{"spec":"${"x".repeat(300_000)}","steps":[{"count":1}]}"""))
            assertEquals(200, submit("a1"))
            assertEquals(200, submit("5c0e7a21d94b36f8"))
            assertEquals(200, submit("A_b-1" + "0".repeat(59)))
            awaitCompleted("a1")
        }

    private companion object {
        const val EXECUTORS = "keyed.servers"
        const val NESTING = 100_000
        const val WIDE = """{"spec":"text","steps":[{"count":24,"cpu":1000,"mem-mb":100,"estimate-ms":300}]}"""
        val NESTED = "[".repeat(NESTING) + "]".repeat(NESTING)

        fun entry(address: String = "127.0.0.1:9", cpu: String = "1000", born: String = "1") =
            """{"service":"pool","address":"$address","zone":"zone-b","state":"ready","born":$born,
            "capacity":{"cpu":$cpu,"mem-mb":1000,"gpu":0},"labels":["a","r1-1"]}"""

        val ODD_ENTRIES: Map<String, String> =
            mapOf(
                "nested" to NESTED,
                "nested-field" to """{"service":"pool","labels":$NESTED}""",
                "capacity" to entry(cpu = "1e400"),
                "capacity-sum" to entry(cpu = "9223372036854775807"),
                "negative" to entry(cpu = "-1"),
                "nan" to entry(cpu = "NaN"),
                "born" to entry(born = "1e30"),
                "port" to entry(address = "127.0.0.1:70000"),
                "no-port" to entry(address = "127.0.0.1:0"),
                "host" to entry(address = "a b:80"),
                "host-control" to entry(address = "a\\u0000:80"),
                "key control\u0000\r\n" to entry(),
                "key-\u00e9" to entry(),
                "k".repeat(255) to entry(),
                "long-text" to entry().replace("zone-b", "\\u0001".repeat(40_000)),
                "bytes" to "\u0000\uffff{",
                "list" to "[]",
                "state" to entry().replace("ready", "asleep"),
            )
        val ODD_RECORDS =
            listOf(
                NESTED,
                """{"unknown":$NESTED}""",
                "{",
                "\u0000",
                """{"q":"queue","p":"pool","a":1,"s":[{"n":-1}]}""",
                """{"q":"queue","p":"pool","a":9223372036854775807,"s":[{"n":2000000000,"e":9223372036854775807}]}""",
                """{"q":"queue","p":"pool","a":1,"s":[{"n":1}],"r":{"occurrences":-1,"start":1,"interval":-1}}""",
                """{"s":"Active","d":["-1.-1.-1"],"r":{"2147483647.0.0":"9223372036854775807@x"}}""",
                """{"epoch":9223372036854775807,"owner":"o","incarnation":"i"}""",
                """{"b":9223372036854775807,"p":"pool","a":"x:99999","z":"z","c":[9223372036854775807,1,1],"l":[]}""",
                """{"b":1,"p":"pool","a":"127.0.0.1:9","z":"z","c":[1],"l":[]}""",
            )
    }
}
