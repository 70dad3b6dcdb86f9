package dogwoodgrade.scenarios

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/** A step of the demonstration, which reports its outcomes to the log. */
public typealias DemonstrationStep = (Demonstration, OutcomeLog) -> Unit

/** Steps of the demonstration in the order in which they run. */
public val demonstrationSteps: List<DemonstrationStep> =
    listOf(
        ::serveRequests,
        ::checkUpperLimit,
        ::drainPoolUnderLoad,
        ::takeZoneOutOfService,
        ::stopEntryUnderLoad,
        ::finishJobOfKilledEntry,
        ::withdrawKey,
    )

private const val REQUEST_COUNT = 40

private fun countStatuses(responses: List<CompletableFuture<CallResult>>): Map<Int, Int> =
    responses.map { it.join().status }.groupingBy { it }.eachCount()

private fun serveRequests(demonstration: Demonstration, log: OutcomeLog) {
    val responses =
        List(REQUEST_COUNT) {
            demonstration.sendRequest(demonstration.running().let { all -> all[it % all.size] }, 20)
        }
    val statusCounts = countStatuses(responses)
    log.report(statusCounts == mapOf(200 to REQUEST_COUNT), "$REQUEST_COUNT requests over four entries: $statusCounts")
    val refused = demonstration.sendRequest(demonstration.running().first(), 0, key = "wrong").join().status
    log.report(refused == 401, "a request with an unknown key: $refused")
}

/** Samples the endpoints' own task counts; their sum over both zones must stay within the upper limit. */
private fun checkUpperLimit(demonstration: Demonstration, log: OutcomeLog) {
    val ended = AtomicBoolean()
    var maximumRunning = 0
    val sampler =
        thread {
            while (!ended.get()) {
                maximumRunning = maxOf(maximumRunning, countConcurrentTasks(demonstration.endpoints.values) ?: 0)
                Thread.sleep(SAMPLE_INTERVAL_MILLISECONDS)
            }
        }
    val entries = demonstration.running()
    val responses = List(REQUEST_COUNT) { demonstration.sendRequest(entries[it % entries.size], 700) }
    val statusCounts = countStatuses(responses)
    ended.set(true)
    sampler.join()
    val upperLimit = Demonstration.UPPER_LIMIT
    log.report(
        maximumRunning in 1..upperLimit && statusCounts.keys == setOf(200),
        "upper limit $upperLimit: at most $maximumRunning tasks at once on the endpoints of both zones, $statusCounts",
    )
}

/**
 * Returns the number of tasks that ran at the same moment, or `null` if a task started during the measurement.
 *
 * All endpoints are queried twice. If no task started between the two responses of any endpoint, the running tasks of
 * the second responses all ran at the end of the first round. The sum of single responses could count both a task and
 * its successor on another endpoint.
 */
private fun countConcurrentTasks(endpoints: Collection<FleetEndpoint>): Int? {
    val before = endpoints.map { fetchTeamCount(it, "started") }
    val responses = endpoints.map { it.statistics() }
    val after = responses.map { teamCount(it, "started") }
    return if (before == after) responses.sumOf { teamCount(it, "running") } else null
}

private fun fetchTeamCount(endpoint: FleetEndpoint, field: String): Int = teamCount(endpoint.statistics(), field)

private fun teamCount(statistics: JsonObject, field: String): Int =
    statistics[field]
        ?.jsonObject
        ?.get(Demonstration.TEAM)
        ?.jsonPrimitive
        ?.int ?: 0

/** Sends sequential requests to each of [entries] while [action] runs; returns the number of responses by status. */
private fun runUnderLoad(demonstration: Demonstration, entries: List<FleetEntry>, action: () -> Unit): Map<Int, Int> {
    val ended = AtomicBoolean()
    val responses = java.util.concurrent.ConcurrentLinkedQueue<CompletableFuture<CallResult>>()
    val callers =
        entries.map { entry ->
            thread {
                var sent = 0
                while (!ended.get() && sent++ < MAX_REQUESTS_PER_CALLER) {
                    responses += demonstration.sendRequest(entry, 50).also { it.join() }
                }
            }
        }
    action()
    ended.set(true)
    callers.forEach { it.join() }
    return countStatuses(responses.toList())
}

private fun drainPoolUnderLoad(demonstration: Demonstration, log: OutcomeLog) {
    var exit = -1
    val statusCounts =
        runUnderLoad(demonstration, demonstration.running()) {
            exit = demonstration.operator("run-wave", "spring", "pricing", "--reboot-seconds", "1")
        }
    log.report(exit == 0, "every instance of the pool was drained and returned to service, exit status $exit")
    log.report(statusCounts.keys == setOf(200), "requests during the wave: $statusCounts")
}

private fun takeZoneOutOfService(demonstration: Demonstration, log: OutcomeLog) {
    val statusCounts =
        runUnderLoad(demonstration, demonstration.running()) {
            val exit = demonstration.operator("zone-out", "a")
            val zoneOutTime = System.currentTimeMillis()
            Thread.sleep(ZONE_WAIT_MILLISECONDS)
            val last = lastStart(demonstration, "a")
            log.report(
                exit == 0 && last <= zoneOutTime + MAX_TASK_START_DELAY_AFTER_ZONE_OUT_MILLISECONDS,
                "last start in zone a ${last - zoneOutTime} ms after zone-out",
            )
            val zoneInExit = demonstration.operator("zone-in", "a")
            val zoneInTime = System.currentTimeMillis()
            Thread.sleep(ZONE_WAIT_MILLISECONDS * 2)
            val first = lastStart(demonstration, "a")
            log.report(zoneInExit == 0 && first > zoneInTime, "zone a runs tasks again after zone-in")
        }
    log.report(statusCounts.keys == setOf(200), "requests while the zone left and returned to service: $statusCounts")
}

private fun lastStart(demonstration: Demonstration, zone: String): Long =
    demonstration.endpoints
        .filterKeys { it.startsWith(zone) }
        .values
        .maxOf { it.statistics()["lastStart"]?.jsonPrimitive?.long ?: 0 }

private fun stopEntryUnderLoad(demonstration: Demonstration, log: OutcomeLog) {
    val leaving = demonstration.running().last()
    val before = List(STOP_REQUEST_COUNT) { demonstration.sendRequest(leaving, 1_000) }
    Thread.sleep(STOP_DELAY_MILLISECONDS)
    var exit = -1
    val others =
        runUnderLoad(demonstration, demonstration.running() - leaving) {
            leaving.process.signal("TERM")
            exit = leaving.process.awaitExit()
        }
    val statusCounts = countStatuses(before)
    log.report(
        statusCounts == mapOf(200 to STOP_REQUEST_COUNT) && others.keys == setOf(200),
        "${leaving.name} stopped (exit status $exit): its requests $statusCounts, those of the others $others",
    )
    demonstration.operator("entries")
}

private fun finishJobOfKilledEntry(demonstration: Demonstration, log: OutcomeLog) {
    val accepting = demonstration.running().last()
    val headers = demonstration.authorization() + ("Idempotency-Key" to "survey-1")
    val accepted = HttpCalls.send("POST", "${accepting.callerUrl}/jobs/price/survey?run=1500", "plate", headers)
    val job = accepted.json["job"]?.jsonPrimitive?.content
    accepting.process.signal("KILL")
    log.report(accepted.status == 202, "job accepted by ${accepting.name} (${accepted.status}), which is killed next")
    val other = demonstration.running().first { it.name != accepting.name }
    val finished =
        runCatching {
            Fleet.awaitTrue("the job is finished", JOB_TIMEOUT_SECONDS) {
                val response =
                    HttpCalls.send("GET", "${other.callerUrl}/jobs/$job", headers = demonstration.authorization())
                response.json["status"]?.jsonPrimitive?.content == "finished"
            }
        }
    log.report(finished.isSuccess, "the job is ${if (finished.isSuccess) "" else "not "}finished, says ${other.name}")
}

private fun withdrawKey(demonstration: Demonstration, log: OutcomeLog) {
    demonstration.operator("withdraw-key", Demonstration.KEY)
    val statuses = demonstration.running().map { demonstration.sendRequest(it, 0).join().status }
    log.report(statuses.all { it == 401 }, "requests with the withdrawn key: $statuses")
}

private const val SAMPLE_INTERVAL_MILLISECONDS = 20L
private const val MAX_REQUESTS_PER_CALLER = 2_000
private const val ZONE_WAIT_MILLISECONDS = 3_000L

/** Longest time after the change that takes a zone out of service in which a task may still start there. */
private const val MAX_TASK_START_DELAY_AFTER_ZONE_OUT_MILLISECONDS = 2_000L
private const val STOP_REQUEST_COUNT = 6
private const val STOP_DELAY_MILLISECONDS = 300L

/** Includes the time to detect that the killed entry has ended and to claim the job again. */
private const val JOB_TIMEOUT_SECONDS = 40
