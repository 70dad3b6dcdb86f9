package dogwoodgrade.entry

import dogwoodgrade.codec.RecordCodec
import dogwoodgrade.codec.SnapshotCodec
import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.ControlState
import dogwoodgrade.control.ControlTable
import dogwoodgrade.control.JoinedEntry
import dogwoodgrade.control.SchemaVersions
import dogwoodgrade.limits.PermitTable
import dogwoodgrade.logclient.httpLogService
import dogwoodgrade.membership.Introduction
import dogwoodgrade.membership.MemberTable
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import dogwoodgrade.peer.GrpcPeerClient
import dogwoodgrade.peer.PeerHandlers
import dogwoodgrade.peer.PeerServer
import dogwoodgrade.peer.startPeerServer
import dogwoodgrade.routing.EndpointTable
import dogwoodgrade.routing.RetryBudgetTable
import dogwoodgrade.shares.QueueSettings
import dogwoodgrade.shares.QueueTable
import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.http.HttpServerOptions
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import java.io.IOException
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** TCP ports that the process listens on. They differ from the settings where those give port 0. */
internal data class ListeningPorts(val caller: Int, val peer: Int, val operator: Int)

/** The entry process. It creates and connects the tables, the workers, the listeners and the loops. */
internal class EntryProgram(private val settings: Settings) {
    private val clock = MonotonicClock()
    private val identity = EntryIdentity(settings.name, clock.now().toEpochMilliseconds())
    private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(EVENT_LOOP_THREADS).setWorkerPoolSize(1))
    private val threads = Executors.newFixedThreadPool(settings.limits.workers)
    private val scope = CoroutineScope(SupervisorJob() + threads.asCoroutineDispatcher())
    private val freshness = AtomicFreshness(clock.now())
    private val metrics = Metrics()
    private val workers = WorkerPool(settings.limits.workers, settings.limits.maximumRequests)
    private val webClient = WebClient.create(vertx, WebClientOptions().setKeepAliveTimeout(PLATFORM_KEEP_ALIVE_SECONDS))
    private val log = httpLogService(webClient, settings.log.host, settings.log.port)
    private val peerClient = GrpcPeerClient(now = clock::now)
    private val foldedOffset = MutableStateFlow(0L)
    private val zoneReturnTimes = ZoneReturnTimes()
    private var lastPublished = ControlState.Empty

    @Volatile
    private var isStopping = false

    private lateinit var peerServer: PeerServer
    private lateinit var tables: EntryTables
    private lateinit var loops: EntryLoops

    /** Starts the process and returns its ports, or the reason why a listener could not be opened. */
    suspend fun start(): Outcome<ListeningPorts> {
        when (
            val started = startPeerServer(
                settings.host,
                settings.peerPort,
                handlers(),
                threads.asCoroutineDispatcher(),
            )
        ) {
            is Outcome.Failure -> return started
            is Outcome.Success -> peerServer = started.value
        }
        tables = newTables(PeerAddress(settings.host, peerServer.port))
        val dispatcher = Dispatcher(settings, tables, freshness, dispatcherFunctions())
        return try {
            val operatorPort = listen(operatorRoutes().router(vertx), settings.operatorPort)
            loops = newLoops(operatorPort)
            workers.start(scope, dispatcher::handle)
            val callerPort = listen(callerRoutes().router(vertx, jobRoutes()::addTo), settings.callerPort)
            loops.start()
            Outcome.Success(ListeningPorts(callerPort, peerServer.port, operatorPort))
        } catch (failure: IOException) {
            Outcome.Failure(ResultCode.AddressInUse, "cannot listen on ${settings.host}: ${failure.message}")
        }
    }

    private suspend fun listen(router: io.vertx.ext.web.Router, port: Int): Int =
        vertx
            .createHttpServer(HttpServerOptions().setHost(settings.host).setPort(port))
            .requestHandler(router)
            .listen()
            .coAwait()
            .actualPort()

    private fun newTables(address: PeerAddress): EntryTables =
        EntryTables(
            control = ControlTable(RecordCodec::decode),
            permits = PermitTable(identity),
            queues = QueueTable(QueueSettings(settings.limits.queueBound)),
            endpoints = EndpointTable(),
            members = MemberTable(Introduction(identity, settings.zone, address), settings.peers),
            budgets = RetryBudgetTable(),
            requests = RequestTable(settings.limits.maximumRequests),
        )

    private fun newLoops(operatorPort: Int): EntryLoops {
        val follower = LogFollower(log, peerClient.port, tables.control, freshness, clock::now, ::publishFoldedState)
        val proposer = Proposer(identity, log, tables.control) { awaitFold() }
        val reporter = PermitReporter(tables, clock::now, proposer::append)
        val failures = FailureReporter(identity.name, tables, proposer::append)
        return EntryLoops(
            scope = scope,
            now = clock::now,
            tables = tables,
            freshness = freshness,
            follower = follower,
            reporter = reporter,
            gossip = GossipLoop(tables, peerClient.port, follower, freshness, clock::now),
            housekeeping = Housekeeping(identity, tables, log, peerClient.port, proposer::append, clock::now),
            jobs = JobRunner(identity, tables, clock::now, workers::postArrival, proposer::propose),
            proposer = proposer,
            liveList =
                settings.liveList?.let { address ->
                    LiveListWatcher(webClient, address, clock::now) { observation, now ->
                        tables.endpoints.observeLive(observation, now)
                        failures.observe(observation, now)
                    }
                },
            joined =
                JoinedEntry(
                    identity,
                    settings.zone,
                    "${settings.host}:${peerServer.port}",
                    "${settings.host}:$operatorPort",
                    SchemaVersions.NEWEST,
                ),
            postTick = { workers.post(EntryEvent.Tick) },
        )
    }

    private fun dispatcherFunctions(): DispatcherFunctions {
        val endpointClient = EndpointClient(vertx, MAX_CONNECTIONS_PER_ENDPOINT, clock::now)
        return DispatcherFunctions(
            now = clock::now,
            random = Random(identity.incarnation),
            send = endpointClient::send,
            postLater = {
                delay,
                event,
                ->
                vertx.setTimer(delay.inWholeMilliseconds.coerceAtLeast(1)) { workers.post(event) }
            },
            post = workers::post,
            onDemandChanged = { loops.reporter.requestPlan() },
            recordEnd = metrics::recordEnd,
            recordStart = metrics::recordStart,
            recordRefusal = metrics::recordEarlyRefusal,
        )
    }

    private fun callerRoutes(): CallerRoutes =
        CallerRoutes(
            settings.limits,
            CallerRoutePorts(
                post = workers::postArrival,
                callerLeft = { workers.post(EntryEvent.CallerLeft(it)) },
                isStopping = { isStopping },
                staleAge = { staleAge(freshness, clock.now()) },
                recordRefusal = metrics::recordEarlyRefusal,
            ),
        )

    private fun jobRoutes(): JobRoutes =
        JobRoutes(
            scope,
            { tables.control.state },
            { freshness.status(clock.now()) },
            { isStopping },
            loops.proposer::propose,
        )

    private fun operatorRoutes(): OperatorRoutes =
        OperatorRoutes(identity, settings, tables, freshness, metrics, { isStopping }, clock::now)

    private fun handlers(): PeerHandlers =
        PeerHandlers(
            exchange = { loops.gossip.answer(it) },
            fetch = { request -> loops.gossip.fetch(request) { SnapshotCodec.encode(tables.control.state) } },
            identify = { identity },
        )

    /**
     * Passes the new folded state on to the tables. Synchronized, so that the order is kept when the log and a peer
     * deliver at the same time. Permit reports are the most frequent records and change only the ledger, so the other
     * parts are passed on only when they have changed.
     */
    @Synchronized
    private fun publishFoldedState() {
        val now = clock.now()
        val state = tables.control.state
        val last = lastPublished
        if (state.configuration !== last.configuration || state.entries !== last.entries) {
            val out = state.configuration.zonesOutOfService
            tables.endpoints.configure(endpointConfigurationOf(state, zoneReturnTimes.update(out, now)), now)
        }
        if (state.configuration.teams !== last.configuration.teams) tables.queues.configure(teamSharesOf(state))
        tables.permits.accept(state.offset, state.permits)
        lastPublished = state
        foldedOffset.value = state.offset.value
        loops.reporter.requestPlan()
        workers.post(EntryEvent.Tick)
    }

    private suspend fun awaitFold() {
        val seen = foldedOffset.value
        foldedOffset.first { it > seen }
    }

    /**
     * Stops gracefully: refuses new requests, lets waiting and running ones end, returns the permits and leaves. If
     * work is still running after [RequestLimits.shutdownTimeout], the process ends without leaving. Its permits are
     * then reclaimed after the task leases, once there is evidence that the process has ended.
     */
    suspend fun stop() {
        logger.info { "entry: stopping" }
        isStopping = true
        tables.queues.close()
        loops.jobs.stop()
        tables.permits.beginShutdown()
        loops.reporter.requestPlan()
        val workEnded = await(settings.limits.shutdownTimeout) { tables.requests.size == 0 && loops.jobs.isIdle }
        val permitsReturned =
            workEnded && await(settings.limits.shutdownTimeout) { tables.permits.allPermitsReturned() }
        if (permitsReturned && tables.control.state.isJoined(identity)) {
            loops.proposer.propose(ControlBody.LeaveEntry(identity), LEAVE_TIMEOUT)
        }
        logger.info { "entry: stopped, all work ended: $workEnded, permits returned: $permitsReturned" }
        scope.cancel()
        vertx.close().coAwait()
        peerClient.close()
        peerServer.close()
        threads.shutdown()
    }

    private suspend fun await(limit: Duration, condition: () -> Boolean): Boolean {
        val end = clock.now() + limit
        while (!condition()) {
            if (clock.now() >= end) return false
            loops.reporter.requestPlan()
            delay(STOP_POLL_INTERVAL)
        }
        return true
    }

    private companion object {
        const val EVENT_LOOP_THREADS = 2

        /** Time after which idle connections to the platform are closed. */
        const val PLATFORM_KEEP_ALIVE_SECONDS = 5

        /** Above the `maxConnections` of an endpoint, to which the endpoint table limits this entry. */
        const val MAX_CONNECTIONS_PER_ENDPOINT = 64
        val LEAVE_TIMEOUT: Duration = 3.seconds
        val STOP_POLL_INTERVAL: Duration = 50.milliseconds
    }
}
