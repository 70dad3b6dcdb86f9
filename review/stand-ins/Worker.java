import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An executor: it guards its capacity, keeps the highest fencing token, runs tasks under one lease, and lists ends until
 * they are taken note of. The text of a job says how long its tasks work (`work=`, milliseconds), whether they fail at
 * the end (`fail=1`), whether they save their progress (`saves=1`), and by how much their times differ (`spread=`, in
 * percent).
 */
final class Worker {
    static final long CPU = 64_000;
    static final long MEMORY_MB = 262_144;
    private static final long MAX_HOLD_MS = 10_000;
    private static final long STOP_MS = 50;
    private static final long CHECKPOINT_MS = 2_000;
    private static final int LISTED_ENDS = 500;
    private static final long HEARTBEAT_MS = 1_500;

    /** Time after which the list of executors shows a new life, `lag_ms` of the site file. */
    private static final long LIST_LAG_MS = 800;

    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, Threads::daemon);

    final String id;
    final String service;
    final String zone;
    final String machine;
    final int port;
    private final Store store;
    private final Record record;
    private final List<Run> allRuns;

    /** State of one life; a crash clears it. */
    private HttpServer server;
    private ExecutorService threads;
    private long born;
    private long startedAtNanos;
    private long fencingToken;
    private long leaseEnd;
    private long usedCpu;
    private long usedMemory;
    private long endCount;
    private long heartbeats;
    private boolean draining;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<Run> ended = new ArrayList<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final Map<String, long[]> requests;

    /** Times at which the lease of this executor ended. */
    private final List<Double> lapses = Collections.synchronizedList(new ArrayList<>());
    private boolean lapsed;

    /**
     * @param requests processor and memory that a task of each job takes
     * @param allRuns every run of all executors, for the judge
     */
    Worker(String id, String service, String zone, Store store, Record record, Map<String, long[]> requests,
        List<Run> allRuns) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.machine = "m-" + id;
        this.store = store;
        this.record = record;
        this.requests = requests;
        this.allRuns = allRuns;
        port = Fleet.freePort();
        TIMER.scheduleAtFixedRate(this::expireLease, 50, 50, TimeUnit.MILLISECONDS);
        TIMER.scheduleAtFixedRate(this::heartbeat, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    /** Starts a life, under the same id and address as the one before. */
    synchronized void start() throws IOException {
        born = System.currentTimeMillis();
        startedAtNanos = System.nanoTime();
        fencingToken = 0;
        leaseEnd = 0;
        usedCpu = 0;
        usedMemory = 0;
        endCount = 0;
        heartbeats = 0;
        running.clear();
        ended.clear();
        highestEnded.clear();
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 64);
        threads = Executors.newCachedThreadPool(Threads::daemon);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        record.event(id, "starts, born " + born);
        // The list of executors lags.
        TIMER.schedule(this::heartbeat, LIST_LAG_MS, TimeUnit.MILLISECONDS);
    }

    /** Ends a life without a word: everything that runs is gone. */
    synchronized void crash() {
        if (server == null) return;
        server.stop(0);
        threads.shutdownNow();
        server = null;
        for (Run run : running.values()) end(run, "crashed");
        running.clear();
        notifyAll();
        record.event(id, "crashes");
    }

    /** Returns whether the lease ended between two times. */
    boolean lapsedBetween(double from, double to) {
        synchronized (lapses) {
            return lapses.stream().anyMatch(time -> time >= from && time <= to);
        }
    }

    synchronized boolean isUp() {
        return server != null;
    }

    synchronized long usedCpu() {
        return usedCpu;
    }

    private synchronized void heartbeat() {
        // The store answers nobody while it is down; entries reach it again afterwards.
        if (server == null || store.busy) return;
        heartbeats++;
        store.write("keyed.servers", id, Json.write(Json.of("service", service, "address", "127.0.0.1:" + port,
            "zone", zone, "version", "v1", "slots", 8, "state", draining ? "draining" : "ready", "cold-left-ms", 0,
            "capacity", Json.of("cpu", CPU, "mem-mb", MEMORY_MB, "gpu", 0), "labels", List.of("a", "r-" + zone),
            "clock-ms", clock(), "born", born, "seq", heartbeats)));
    }

    private long clock() {
        return (System.nanoTime() - startedAtNanos) / 1_000_000;
    }

    private synchronized void expireLease() {
        if (server == null || clock() <= leaseEnd) return;
        if (!lapsed && leaseEnd > 0) lapses.add(record.time());
        lapsed = true;
        for (Run run : List.copyOf(running.values())) list(run, "lapsed");
    }

    private void handle(HttpExchange call) throws IOException {
        try {
            Map<String, Object> body = Json.object(new String(call.getRequestBody().readAllBytes(),
                StandardCharsets.UTF_8));
            Object[] result = handle(call.getRequestURI().getPath(),
                call.getRequestHeaders().getFirst("Dogwoodgrade-Expected-Instance"), body);
            Http.answer(call, (int) result[0], Json.write(result[1]).getBytes(StandardCharsets.UTF_8));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            call.close();
        }
    }

    private synchronized Object[] handle(String path, String expected, Map<String, Object> body)
        throws InterruptedException {
        if (!id.equals(expected)) return answer(421, null);
        long token = Json.number(body, "fencing-token", 0);
        if (token < fencingToken) return answer(409, "fence");
        fencingToken = token;
        return switch (path) {
            case "/run-start" -> runStart(body);
            case "/run-stop" -> runStop(body);
            case "/hold" -> hold(body);
            case "/pace" -> answer(200, null);
            default -> answer(400, null);
        };
    }

    private Object[] answer(int status, String reason) {
        Map<String, Object> body = Json.of("clock-ms", clock(), "born", born);
        if (reason != null) body.put("reason", reason);
        return new Object[] {status, body};
    }

    private void extendLease(Map<String, Object> body) {
        long deadline = Json.number(body, "deadline-ms", 0);
        leaseEnd = Math.max(leaseEnd, Math.min(deadline, clock() + MAX_HOLD_MS));
        if (clock() <= leaseEnd) lapsed = false;
    }

    private Object[] runStart(Map<String, Object> body) {
        String task = Json.string(body, "task");
        long number = Json.number(body, "run", 0);
        if (Json.number(body, "deadline-ms", 0) < clock()) return answer(409, "late");
        extendLease(body);
        Run present = running.get(task);
        if (present != null && present.number == number) return answer(200, null);
        if (number <= highestEnded.getOrDefault(task, 0L) || present != null) return answer(409, "old");
        Run run = new Run(task, number, id, Json.string(body, "spec"), record.time());
        long[] request = requests.getOrDefault(run.job(), new long[] {0, 0});
        if (usedCpu + request[0] > CPU || usedMemory + request[1] > MEMORY_MB) return answer(409, "room");
        usedCpu += request[0];
        usedMemory += request[1];
        running.put(task, run);
        synchronized (allRuns) {
            allRuns.add(run);
        }
        record.run(run.job(), id, "starts task " + task + " run " + number + " for token " + fencingToken);
        long life = born;
        TIMER.schedule(() -> finish(run, life), run.work(), TimeUnit.MILLISECONDS);
        return answer(200, null);
    }

    private synchronized void finish(Run run, long life) {
        if (born == life && running.get(run.task) == run) list(run, run.value("fail", 0) == 1 ? "failed" : "done");
    }

    private Object[] runStop(Map<String, Object> body) {
        String task = Json.string(body, "task");
        long number = Json.number(body, "run", 0);
        highestEnded.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= number) {
            long life = born;
            TIMER.schedule(() -> {
                synchronized (this) {
                    if (born == life && running.get(task) == run) list(run, "stopped");
                }
            }, STOP_MS, TimeUnit.MILLISECONDS);
        }
        return answer(200, null);
    }

    /** Ends a run and lists the end. */
    private void list(Run run, String how) {
        running.remove(run.task);
        long[] request = requests.getOrDefault(run.job(), new long[] {0, 0});
        usedCpu -= request[0];
        usedMemory -= request[1];
        end(run, how);
        run.endNumber = ++endCount;
        ended.add(run);
        highestEnded.merge(run.task, run.number, Math::max);
        notifyAll();
    }

    private void end(Run run, String how) {
        run.endedAt = record.time();
        run.how = how;
        record.run(run.job(), id, "ends task " + run.task + " run " + run.number + " " + how);
    }

    private Object[] hold(Map<String, Object> body) throws InterruptedException {
        long noted = Json.number(body, "ack-seq", 0);
        for (Run run : ended) {
            if (run.endNumber <= noted) run.notedAt = record.time();
        }
        ended.removeIf(run -> run.endNumber <= noted);
        extendLease(body);
        long life = born;
        long until = System.nanoTime() + Math.min(2_000, Json.number(body, "wait-ms", 0)) * 1_000_000;
        while (ended.isEmpty() && born == life) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) break;
            wait(left);
        }
        List<Object> runs = new ArrayList<>();
        for (Run run : running.values()) runs.add(List.of(run.task, run.number, saved(run), percent(run), 0));
        List<Object> ends = new ArrayList<>();
        for (Run run : ended) {
            if (ends.size() == LISTED_ENDS) break;
            if (Double.isNaN(run.listedAt)) run.listedAt = record.time();
            ends.add(List.of(run.endNumber, run.task, run.number, run.how, saved(run)));
        }
        Object[] answer = answer(200, null);
        @SuppressWarnings("unchecked")
        Map<String, Object> lists = (Map<String, Object>) answer[1];
        lists.put("running", runs);
        lists.put("ended-runs", ends);
        return answer;
    }

    private double worked(Run run) {
        return (Double.isNaN(run.endedAt) ? record.time() : run.endedAt) - run.startedAt;
    }

    private long percent(Run run) {
        return Math.min(99, (long) (worked(run) * 100_000 / run.work()));
    }

    private String saved(Run run) {
        long saves = run.value("saves", 0) == 1 ? (long) (worked(run) * 1000 / CHECKPOINT_MS) : 0;
        return saves == 0 ? "" : String.format("%08x%08x", saves, run.task.hashCode());
    }
}
