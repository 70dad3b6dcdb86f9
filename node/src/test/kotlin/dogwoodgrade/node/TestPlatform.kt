package dogwoodgrade.node

import dogwoodgrade.platform.SettingsOutcome
import dogwoodgrade.platform.readNodeSettings
import dogwoodgrade.platform.standin.StandInExecutor
import dogwoodgrade.platform.standin.StandInStore
import dogwoodgrade.scheduling.SchedulingPolicy
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Longest wait of a test for a condition; generous, since test machines are shared. */
private val TEST_TIME_LIMIT = 40.seconds

/** Runs [test] on a stand-in platform with [nodes] instances that are ready. No task may have run twice at a time. */
internal fun onPlatform(
    executors: Int = 3,
    nodes: Int = 2,
    platform: TestPlatform = TestPlatform(),
    test: suspend TestPlatform.() -> Unit,
) =
    runBlocking {
        try {
            platform.start(executors)
            repeat(nodes) { platform.awaitReady(platform.startNode("entry-$it")) }
            platform.test()
            assertEquals(emptyList<String>(), platform.executors.flatMap { it.tasksWithOverlappingRuns })
        } finally {
            platform.stop()
        }
    }

/** An entry instance in this process, with its own scope so that it can be ended at any time. */
internal class TestNode(
    val name: String,
    val port: Int,
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    val node: Node,
) {
    /** Whether the instance owns the fleet, as its metrics show it. */
    fun isOwner(): Boolean = node.ownedEpoch() > 0

    /** Ends the instance without a graceful stop, as a killed process does. */
    suspend fun kill() {
        scope.cancel()
        vertx.close().coAwait()
    }
}

/** The stand-in platform with executors of one pool, and entry instances that use it, over loopback. */
internal class TestPlatform(
    private val runTime: Long = 300,
    private val checkpoint: String = "",
    private val failures: Int = 0,
) {
    private val vertx: Vertx = Vertx.vertx()
    private val client = HttpClient.newHttpClient()

    /** Runs the store and the executors. */
    val executorVertx: Vertx get() = vertx
    val store = StandInStore(vertx)
    val executors = mutableListOf<StandInExecutor>()
    val nodes = mutableListOf<TestNode>()

    suspend fun start(executorCount: Int) {
        store.start()
        store.write("keyed.op", "config", CONFIGURATION)
        repeat(executorCount) { number ->
            val executor = StandInExecutor(vertx, "x$number", "pool", "zone-a", runTime, checkpoint, failures)
            executors += executor
            store.write("keyed.servers", "x$number", executor.start())
        }
    }

    suspend fun startNode(
        name: String,
        scheduling: SchedulingPolicy = SchedulingPolicy(),
        storePort: Int = store.port,
        processorCores: Double = 1.0,
    ): TestNode {
        val port = freePort()
        val settings =
            readNodeSettings(
                """
                {"node-name":"$name","zone":"zone-a","bootstrap":true,
                 "listen":{"frontend":"127.0.0.1:$port","readiness":"127.0.0.1:${freePort()}"},
                 "limits":{"cpu-share":$processorCores,"cores":1},
                 "bounds":{"max-hold-ms":6000,"grace-s":4},"platform":{"address":"127.0.0.1:$storePort"}}
                """.trimIndent(),
            )
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val nodeVertx = Vertx.vertx()
        val node = Node((settings as SettingsOutcome.Valid).settings, nodeVertx, scope, scheduling)
        node.start()
        return TestNode(name, port, nodeVertx, scope, node).also { nodes += it }
    }

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    /** Sends a request to [node] and returns status and body. */
    fun call(
        node: TestNode,
        method: String,
        path: String,
        body: String? = null,
        key: String? = "key-1",
    ): Pair<Int, String> {
        val publisher = body?.let { HttpRequest.BodyPublishers.ofString(it) } ?: HttpRequest.BodyPublishers.noBody()
        val request =
            HttpRequest
                .newBuilder(URI("http://localhost:${node.port}$path"))
                .version(HttpClient.Version.HTTP_1_1)
                .method(method, publisher)
        key?.let { request.header("Api-Key", it) }
        val response = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        return response.statusCode() to response.body()
    }

    /** Waits until [condition] holds. */
    suspend fun await(conditionDescription: String, condition: () -> Boolean) {
        try {
            withTimeout(TEST_TIME_LIMIT) { while (!condition()) delay(20) }
        } catch (timeout: kotlinx.coroutines.TimeoutCancellationException) {
            throw AssertionError("did not happen within $TEST_TIME_LIMIT: $conditionDescription", timeout)
        }
    }

    /** Waits until [node] has a configuration and answers requests for the queue. */
    suspend fun awaitReady(
        node: TestNode,
    ) = await("${node.name} is ready") { call(node, "GET", "/queue/").first == 200 }

    suspend fun stop() {
        nodes.forEach { it.kill() }
        vertx.close().coAwait()
    }

    companion object {
        private const val CONFIGURATION =
            """{"version":1,"routes":[{"name":"queue","host":"localhost","path-prefix":"/queue/","service":"pool",
            "max-attempts":3,"slack-factor":2.0,"target-latency-ms":500,"priority":0,"public":false}],
            "services":[{"name":"pool","admission-control":true,"standby":false}],
            "tenants":[{"name":"team","api-keys":["key-1"],"weight":10,"cap":{"cpu":0,"mem-mb":0,"gpu":0}}]}"""

        /** A job of two steps, the second after the first. */
        const val TWO_STEPS =
            """{"spec":"text","steps":[{"count":2,"cpu":1000,"mem-mb":100,"estimate-ms":300},
            {"count":1,"cpu":1000,"mem-mb":100,"estimate-ms":300,"depends-on":[0]}]}"""
    }
}
