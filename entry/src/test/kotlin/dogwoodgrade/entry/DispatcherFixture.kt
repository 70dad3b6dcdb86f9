package dogwoodgrade.entry

import dogwoodgrade.configuration.ConfigurationChange
import dogwoodgrade.configuration.ConfigurationChange.AddInstance
import dogwoodgrade.configuration.ConfigurationChange.GiveKey
import dogwoodgrade.configuration.ConfigurationChange.SetPool
import dogwoodgrade.configuration.ConfigurationChange.SetTeam
import dogwoodgrade.control.ControlBody
import dogwoodgrade.control.ControlRecord
import dogwoodgrade.control.ControlState
import dogwoodgrade.control.ControlTable
import dogwoodgrade.control.DecodedRecord
import dogwoodgrade.control.JoinedEntry
import dogwoodgrade.control.fold
import dogwoodgrade.limits.PermitChange
import dogwoodgrade.limits.PermitReport
import dogwoodgrade.limits.PermitTable
import dogwoodgrade.membership.Introduction
import dogwoodgrade.membership.MemberTable
import dogwoodgrade.membership.PeerAddress
import dogwoodgrade.model.AvailabilityZone
import dogwoodgrade.model.EntryIdentity
import dogwoodgrade.model.EntryName
import dogwoodgrade.model.InstanceName
import dogwoodgrade.model.KeyDigest
import dogwoodgrade.model.Outcome
import dogwoodgrade.model.PoolName
import dogwoodgrade.model.RackName
import dogwoodgrade.model.RecordIdentifier
import dogwoodgrade.model.ResultCode
import dogwoodgrade.model.ServiceName
import dogwoodgrade.model.Version
import dogwoodgrade.model.WorkerName
import dogwoodgrade.routing.AttemptResult
import dogwoodgrade.routing.EndpointTable
import dogwoodgrade.routing.Reservation
import dogwoodgrade.routing.RetryBudgetTable
import dogwoodgrade.shares.QueueTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** An attempt that the dispatcher has passed to [DispatcherFunctions.send]. */
internal class SentAttempt(
    val call: Call,
    val reservation: Reservation,
    val mayStart: () -> Boolean,
    private val onEnd: (AttemptEnd) -> Unit,
) {
    /** Ends the attempt like [EndpointClient], which sends the request only if it may start. */
    fun end(result: AttemptResult) = onEnd(AttemptEnd(if (mayStart()) result else AttemptResult.NotSent, false))
}

/** A dispatcher with fake ports and virtual time, two instances with one slot each, and [permits] permits of a team. */
internal class DispatcherFixture(permits: Int, taskLease: Duration = 4.seconds) {
    var now = Instant.fromEpochSeconds(1_000)
    val sent = mutableListOf<SentAttempt>()
    private val timers = mutableListOf<Pair<Instant, EntryEvent>>()
    private val events = ArrayDeque<EntryEvent>()
    private val identity = EntryIdentity(EntryName("e1"), 1)
    private val settings =
        Settings(
            identity.name,
            ZONE_A,
            "127.0.0.1",
            0,
            0,
            0,
            PeerAddress("127.0.0.1", 1),
            null,
            emptyList(),
            RequestLimits(1_000, 100, 10, 30.seconds, 1, 1.seconds),
        )
    val freshness = AtomicFreshness(now)
    val tables =
        EntryTables(
            ControlTable({ error("the test sets the states") }),
            PermitTable(identity),
            QueueTable(),
            EndpointTable(),
            MemberTable(Introduction(identity, ZONE_A, PeerAddress("127.0.0.1", 1)), emptyList()),
            RetryBudgetTable(),
            RequestTable(100),
        )
    private val dispatcher =
        Dispatcher(
            settings,
            tables,
            freshness,
            DispatcherFunctions(
                now = { now },
                random = Random(1),
                send = {
                    call,
                    reservation,
                    mayStart,
                    onEnd,
                    ->
                    sent += SentAttempt(call, reservation, mayStart, onEnd)
                },
                postLater = { delay, event -> timers += now + delay to event },
                post = events::add,
                onDemandChanged = {},
                recordEnd = { _, _, _ -> },
                recordStart = { _, _ -> },
                recordRefusal = {},
            ),
        )

    init {
        val take = PermitChange(0, permits, permits)
        apply(
            configure(SetTeam(GRANITO, 1, 10, 5.seconds, Version.None)),
            configure(GiveKey(GRANITO, KeyDigest.of("secret"))),
            configure(pool("pricing", "price", taskLease, open = false)),
            configure(pool("open", "open", taskLease, open = true)),
            configure(instance("i1", "a")),
            configure(instance("i2", "b")),
            ControlBody.JoinEntry(JoinedEntry(identity, ZONE_A, "127.0.0.1:1", "127.0.0.1:2", 1)),
            ControlBody.ReportPermits(PermitReport(identity, 1, mapOf(GRANITO to take))),
        )
        freshness.update { it.confirmed(now) }
    }

    private fun pool(name: String, service: String, lease: Duration, open: Boolean) =
        SetPool(PoolName(name), ServiceName(service), 1, 64, lease, 1, 0, open, Version.None)

    private fun instance(name: String, zone: String) =
        AddInstance(
            InstanceName(name),
            "127.0.0.1:1",
            AvailabilityZone(zone),
            RackName(name),
            WorkerName(name),
            PRICING,
        )

    fun configure(change: ConfigurationChange) = ControlBody.Configure(change)

    /** Folds [bodies] like [LogFollower], and passes the state on to the tables. */
    fun apply(vararg bodies: ControlBody) {
        var state: ControlState = tables.control.state
        for (body in bodies) {
            val identifier = RecordIdentifier("r${state.offset}")
            val record = Outcome.Success(ControlRecord(identifier, 1, "test", body))
            state = state.fold(state.offset, DecodedRecord(identifier, 1, record))
            check(state.outcomes[identifier]?.accepted != false) { "${state.outcomes[identifier]}" }
        }
        tables.control.install(state)
        tables.endpoints.configure(endpointConfigurationOf(state, emptyMap()), now)
        tables.permits.accept(state.offset, state.permits)
    }

    fun handle(event: EntryEvent) {
        events += event
        while (events.isNotEmpty()) dispatcher.handle(events.removeFirst())
    }

    fun arrive(request: CallerRequest): Pair<RecordedReply, () -> Unit> {
        val caller = RecordedReply()
        var leave: () -> Unit = {}
        handle(EntryEvent.Arrived(request, caller.reply) { leave = { handle(EntryEvent.CallerLeft(it)) } })
        return caller to { leave() }
    }

    fun end(attempt: SentAttempt, result: AttemptResult) {
        attempt.end(result)
        handle(EntryEvent.Tick)
    }

    /** Advances the time in steps of 100 ms, each with a tick and, if [confirmed], contact with the log. */
    fun advance(duration: Duration, confirmed: Boolean = true) {
        val end = now + duration
        while (now < end) {
            now = minOf(now + 100.milliseconds, end)
            freshness.update { it.tick(now) }
            if (confirmed) freshness.update { it.confirmed(now) }
            val due = timers.filter { it.first <= now }
            timers.removeAll(due)
            due.forEach { handle(it.second) }
            handle(EntryEvent.Tick)
        }
    }

    fun inUse(): Int = tables.permits.snapshot().inUse[GRANITO] ?: 0

    fun codeOf(caller: RecordedReply): ResultCode? = caller.refusal?.code
}
