package dogwoodgrade.scenarios

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/** One step of the demonstration; it reports its outcomes. */
public typealias DemonstrationStep = (Demonstration, OutcomeLog) -> Unit

/** The steps in their order. */
public val DemonstrationSteps: List<DemonstrationStep> =
    listOf(
        ::serveRequests,
        ::holdUpperLimit,
        ::drainPool,
        ::takeZoneOut,
        ::stopEntryUnderLoad,
        ::keepJob,
        ::withdrawKey,
    )

private const val REQUESTS = 40

private fun statuses(answers: List<CompletableFuture<CallResult>>): Map<Int, Int> =
    answers.map { it.join().status }.groupingBy { it }.eachCount()

private fun serveRequests(demonstration: Demonstration, log: OutcomeLog) {
    val answers = List(REQUESTS) { demonstration.call(demonstration.running().let { all -> all[it % all.size] }, 20) }
    val statuses = statuses(answers)
    log.report(statuses == mapOf(200 to REQUESTS), "$REQUESTS requests over four entries: $statuses")
    val refused = demonstration.call(demonstration.running().first(), 0, key = "wrong").join().status
    log.report(refused == 401, "a request with an unknown key: $refused")
}

/** Samples the endpoints' own counts; their sum over the zones must stay within the limit. */
private fun holdUpperLimit(demonstration: Demonstration, log: OutcomeLog) {
    val ended = AtomicBoolean()
    var largest = 0
    val sampler =
        thread {
            while (!ended.get()) {
                largest = maxOf(largest, runningTogether(demonstration.endpoints.values) ?: 0)
                Thread.sleep(SAMPLE_MILLISECONDS)
            }
        }
    val entries = demonstration.running()
    val answers = List(REQUESTS) { demonstration.call(entries[it % entries.size], 700) }
    val statuses = statuses(answers)
    ended.set(true)
    sampler.join()
    val limit = Demonstration.LIMIT
    log.report(
        largest in 1..limit && statuses.keys == setOf(200),
        "upper limit $limit: at most $largest tasks at once on the endpoints of both zones, $statuses",
    )
}

/**
 * Returns a number of tasks that certainly ran at one moment, or `null` if a task started while the endpoints were
 * asked. All endpoints are asked twice: without a start between both answers, the tasks of the second answer ran at the
 * end of the first round. A sum of single answers could count a task and its successor elsewhere.
 */
private fun runningTogether(endpoints: Collection<FleetEndpoint>): Int? {
    val before = endpoints.map { countOf(it, "started") }
    val answers = endpoints.map { it.statistics() }
    val after = answers.map { countIn(it, "started") }
    return if (before == after) answers.sumOf { countIn(it, "running") } else null
}

private fun countOf(endpoint: FleetEndpoint, field: String): Int = countIn(endpoint.statistics(), field)

private fun countIn(statistics: JsonObject, field: String): Int =
    statistics[field]
        ?.jsonObject
        ?.get(Demonstration.TEAM)
        ?.jsonPrimitive
        ?.int ?: 0

/** Sends requests one after the other to each running entry while [action] runs; returns the statuses. */
private fun underLoad(demonstration: Demonstration, entries: List<FleetEntry>, action: () -> Unit): Map<Int, Int> {
    val ended = AtomicBoolean()
    val answers = java.util.concurrent.ConcurrentLinkedQueue<CompletableFuture<CallResult>>()
    val callers =
        entries.map { entry ->
            thread {
                var sent = 0
                while (!ended.get() && sent++ < MAX_REQUESTS_PER_CALLER) {
                    answers += demonstration.call(entry, 50).also { it.join() }
                }
            }
        }
    action()
    ended.set(true)
    callers.forEach { it.join() }
    return statuses(answers.toList())
}

private fun drainPool(demonstration: Demonstration, log: OutcomeLog) {
    var exit = -1
    val statuses =
        underLoad(demonstration, demonstration.running()) {
            exit = demonstration.operator("run-wave", "spring", "pricing", "--reboot-seconds", "1")
        }
    log.report(exit == 0, "every instance of the pool was drained and returned, exit status $exit")
    log.report(statuses.keys == setOf(200), "requests during the wave: $statuses")
}

private fun takeZoneOut(demonstration: Demonstration, log: OutcomeLog) {
    val statuses =
        underLoad(demonstration, demonstration.running()) {
            val exit = demonstration.operator("zone-out", "a")
            val out = System.currentTimeMillis()
            Thread.sleep(ZONE_MILLISECONDS)
            val last = lastStart(demonstration, "a")
            log.report(exit == 0 && last <= out + ZONE_BOUND, "last start in zone a ${last - out} ms after zone-out")
            val back = demonstration.operator("zone-in", "a")
            val returned = System.currentTimeMillis()
            Thread.sleep(ZONE_MILLISECONDS * 2)
            val first = lastStart(demonstration, "a")
            log.report(back == 0 && first > returned, "zone a works again after zone-in")
        }
    log.report(statuses.keys == setOf(200), "requests while the zone left and returned: $statuses")
}

private fun lastStart(demonstration: Demonstration, zone: String): Long =
    demonstration.endpoints
        .filterKeys { it.startsWith(zone) }
        .values
        .maxOf { it.statistics()["lastStart"]?.jsonPrimitive?.long ?: 0 }

private fun stopEntryUnderLoad(demonstration: Demonstration, log: OutcomeLog) {
    val leaving = demonstration.running().last()
    val before = List(STOP_REQUESTS) { demonstration.call(leaving, 1_000) }
    Thread.sleep(STOP_DELAY_MILLISECONDS)
    var exit = -1
    val others =
        underLoad(demonstration, demonstration.running() - leaving) {
            leaving.process.signal("TERM")
            exit = leaving.process.awaitExit()
        }
    val statuses = statuses(before)
    log.report(
        statuses == mapOf(200 to STOP_REQUESTS) && others.keys == setOf(200),
        "${leaving.name} stopped (exit status $exit): its requests $statuses, those of the others $others",
    )
    demonstration.operator("entries")
}

private fun keepJob(demonstration: Demonstration, log: OutcomeLog) {
    val accepting = demonstration.running().last()
    val headers = demonstration.authorization() + ("Idempotency-Key" to "survey-1")
    val accepted = HttpCalls.send("POST", "${accepting.caller}/jobs/price/survey?run=1500", "plate", headers)
    val job = accepted.json["job"]?.jsonPrimitive?.content
    accepting.process.signal("KILL")
    log.report(accepted.status == 202, "job accepted by ${accepting.name} (${accepted.status}), which is killed now")
    val other = demonstration.running().first { it.name != accepting.name }
    val finished =
        runCatching {
            Fleet.awaitTrue("the job is finished", JOB_SECONDS) {
                val answer = HttpCalls.send("GET", "${other.caller}/jobs/$job", headers = demonstration.authorization())
                answer.json["status"]?.jsonPrimitive?.content == "finished"
            }
        }
    log.report(finished.isSuccess, "the job is ${if (finished.isSuccess) "" else "not "}finished, says ${other.name}")
}

private fun withdrawKey(demonstration: Demonstration, log: OutcomeLog) {
    demonstration.operator("withdraw-key", Demonstration.KEY)
    val statuses = demonstration.running().map { demonstration.call(it, 0).join().status }
    log.report(statuses.all { it == 401 }, "requests with the withdrawn key: $statuses")
}

private const val SAMPLE_MILLISECONDS = 20L
private const val MAX_REQUESTS_PER_CALLER = 2_000
private const val ZONE_MILLISECONDS = 3_000L

/** The bound of G6, in milliseconds. */
private const val ZONE_BOUND = 2_000L
private const val STOP_REQUESTS = 6
private const val STOP_DELAY_MILLISECONDS = 300L

/** The end of the killed entry has to be found and the job claimed again. */
private const val JOB_SECONDS = 40
