package dogwoodgrade.scenarios

import dogwoodgrade.configuration.ConfigurationChange.AddInstance
import dogwoodgrade.configuration.ConfigurationChange.GiveKey
import dogwoodgrade.configuration.ConfigurationChange.SetPool
import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.configuration.ConfigurationChange.WithdrawKey
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.TeamName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.io.TempDir
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * Tests the path of a request through one entry process between a caller and an endpoint, over real sockets.
 *
 * Guards against a wrong result code, and against a refusal that misreports whether the task was executed when the
 * endpoint is unreachable or its connection breaks.
 */
class RequestPathTest {
    @TempDir
    lateinit var folder: Path

    private lateinit var fleet: Fleet
    private lateinit var endpoint: FleetEndpoint
    private val key = mapOf("Authorization" to "Bearer secret")

    /** Returns a port on which nothing listens. */
    private fun closedPort(): Int = ServerSocket(0).use { it.localPort }

    @BeforeTest
    fun start() {
        fleet = Fleet(folder)
        fleet.startLog()
        endpoint = fleet.startEndpoint()
        fleet.startEntry("entry-a1", "a", limits = "maximumBodyBytes = 1000")
        fleet.publish(SetTeam(TeamName("granito"), 1, 4, null, Version.None))
        fleet.publish(GiveKey(TeamName("granito"), KeyDigest.of("secret")))
        fleet.publish(SetPool(PoolName("pricing"), ServiceName("price"), 8, 64, 5.seconds, 1, 1, false, Version.None))
        fleet.awaitOffset(addInstance("i1", endpoint.port))
    }

    @AfterTest
    fun stop() = fleet.close()

    private fun addInstance(name: String, port: Int, pool: String = "pricing"): Long =
        fleet.publish(
            AddInstance(
                InstanceName(name),
                "127.0.0.1:$port",
                AvailabilityZone("a"),
                RackName("r"),
                WorkerName("w"),
                PoolName(pool),
            ),
        )

    private fun post(path: String, body: String = "", headers: Map<String, String> = key): CallResult =
        HttpCalls.send("POST", fleet.entries.first().callerUrl + path, body, headers)

    private fun assertRefusal(code: ResultCode, result: CallResult, executed: String = "no") {
        assertEquals(
            code.httpStatus to code.number,
            result.status to result.json["code"]?.jsonPrimitive?.int,
            result.body,
        )
        assertEquals(executed, result.json["executed"]?.jsonPrimitive?.content)
    }

    @Test
    fun `a request with a valid key gets a complete response and invalid ones are refused with their result code`() {
        val response = post("/price/crack?run=20", "plate", key + ("X-Request-Id" to "request-7"))
        assertEquals(200, response.status, response.body)
        assertEquals("plate", response.json["body"]?.jsonPrimitive?.content)
        assertEquals("request-7", response.json["request"]?.jsonPrimitive?.content)
        assertRefusal(ResultCode.MissingKey, post("/price/x", headers = emptyMap()))
        assertRefusal(ResultCode.UnknownKey, post("/price/x", headers = mapOf("Authorization" to "Bearer wrong")))
        assertRefusal(ResultCode.UnknownService, post("/nothing/x"))
        assertRefusal(ResultCode.BodyTooLarge, post("/price/x", "x".repeat(2_000)))
        assertRefusal(ResultCode.MalformedRequest, post("/price/x", headers = key + ("Dogwoodgrade-Class" to "soon")))
    }

    @Test
    fun `a withdrawn key stops working`() {
        assertEquals(200, post("/price/x").status)
        fleet.awaitOffset(fleet.publish(WithdrawKey(TeamName("granito"), KeyDigest.of("secret"))))
        assertRefusal(ResultCode.UnknownKey, post("/price/x"))
    }

    @Test
    fun `an unreachable endpoint is reported as not executed and a broken response is never passed on as complete`() {
        fleet.publish(SetPool(PoolName("lost"), ServiceName("lost"), 8, 64, 5.seconds, 1, 0, false, Version.None))
        fleet.awaitOffset(addInstance("i2", closedPort(), "lost"))
        assertRefusal(ResultCode.NoEndpoint, post("/lost/x"))
        endpoint.setFault("cut")
        assertEquals(0, post("/price/x?run=5").status)
        endpoint.setFault("close")
        assertRefusal(ResultCode.OutcomeUnknown, post("/price/x?run=5"), executed = "unknown")
    }
}
