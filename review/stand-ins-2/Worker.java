import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * An executor. It crashes and starts again under its identifier and at its address; a new life knows nothing of those
 * before it.
 */
final class Worker {
    /** What the tasks of a job do: how long they work, or that they last, with the time until they are at work. */
    static final class Behavior {
        final long workMillis;
        final boolean lasts;

        Behavior(long workMillis, boolean lasts) {
            this.workMillis = workMillis;
            this.lasts = lasts;
        }
    }

    /** One run of a task, with the times of its start and end on the clock of the case. */
    static final class Run {
        final String worker;
        final String task;
        final long run;
        final double startedAt;
        final long startedClock;
        double endedAt = Double.MAX_VALUE;
        boolean acknowledged;
        String ending = "";

        Run(String worker, String task, long run, double startedAt, long startedClock) {
            this.worker = worker;
            this.task = task;
            this.run = run;
            this.startedAt = startedAt;
            this.startedClock = startedClock;
        }
    }

    /** What one life of the executor knows. */
    private final class Life {
        final long born = System.currentTimeMillis();
        final long startedAt = System.nanoTime();
        final List<Run> running = new ArrayList<>();
        final List<Object[]> ended = new ArrayList<>();
        final Map<String, Long> highest = new HashMap<>();
        final Map<String, Double> stopping = new HashMap<>();
        long nextEnd = 1;
        long token;
        long lease;
        boolean over;

        long clock() {
            return (System.nanoTime() - startedAt) / 1_000_000;
        }
    }

    private static final long STOP_MILLIS = 50;
    private static final int RESET = -1;
    private static final int MOST_ENDS = 500;

    final String identifier;
    private final Fleet fleet;
    final String zone;
    final String rack;
    final String pool;
    private final int port;
    private Web web;
    private Life life;
    private long beats;
    private long nextBeatAt;

    /** Number of times that the connections of waiting calls were reset. */
    private int resets;

    /** Time of the last call for the lists of runs, and the highest end that was acknowledged in this life. */
    volatile double listedAt;
    volatile long acknowledged;

    Worker(Fleet fleet, String identifier, String pool, String zone, String rack) throws IOException {
        this.fleet = fleet;
        this.identifier = identifier;
        this.pool = pool;
        this.zone = zone;
        this.rack = rack;
        this.port = Fleet.freePort();
        fleet.daemon("ticks of " + identifier, 10, this::tick);
        fleet.daemon("heartbeat of " + identifier, 20, this::beat);
    }

    void start() throws IOException {
        start(0);
    }

    /** Starts the process; its first entry in the store comes after some time. */
    synchronized void start(long firstBeatMillis) throws IOException {
        life = new Life();
        acknowledged = 0;
        nextBeatAt = System.nanoTime() + firstBeatMillis * 1_000_000;
        web = new Web(port, this::handle);
        fleet.record.line("worker " + identifier + " starts, born=" + life.born);
        beat();
    }

    /** Ends the process at once. Its connections are closed, and whatever ran on it has ended. */
    synchronized void crash() {
        fleet.record.line("worker " + identifier + " crashes, running=" + life.running.size());
        life.over = true;
        for (Run run : life.running) close(run, "crashed");
        life = null;
        web.close();
        notifyAll();
    }

    /** Resets the connections on which calls wait for an answer. */
    synchronized void resetWaitingCalls() {
        fleet.record.line("the connections on which calls wait at " + identifier + " are reset");
        resets++;
        notifyAll();
    }

    synchronized boolean isUp() {
        return life != null;
    }

    /** Ends this executor for good and in order: whatever runs on it ends, and its entry is removed. */
    void leave() {
        crash();
        fleet.beatsAt.remove(identifier);
        fleet.store.put("keyed.servers", identifier, null);
    }

    Map<String, Object> machine(String name) {
        return Json.of("machine", name, "pool", pool, "state", "up", "zone", zone, "labels", List.of("a", rack),
                "capacity", capacity(), "id", identifier);
    }

    private static Map<String, Object> capacity() {
        return Json.of("cpu", 64000, "mem-mb", 131072, "gpu", 0);
    }

    private synchronized void beat() {
        if (life == null || System.nanoTime() < nextBeatAt) return;
        nextBeatAt = System.nanoTime() + Fleet.HEARTBEAT_MILLIS * 1_000_000;
        fleet.beatsAt.put(identifier, System.nanoTime());
        fleet.store.put("keyed.servers", identifier, Json.write(Json.of("service", pool, "address", "127.0.0.1:" + port,
                "zone", zone, "version", "v1", "slots", 8, "state", "ready", "cold-left-ms", 0, "capacity", capacity(),
                "labels", List.of("a", rack), "clock-ms", life.clock(), "born", life.born, "seq", ++beats)));
    }

    private synchronized void tick() {
        if (life == null) return;
        boolean lapsed = life.clock() > life.lease;
        for (Run run : List.copyOf(life.running)) {
            Behavior behavior = fleet.behaviorOf(run.task);
            Double stoppedAt = life.stopping.get(run.task + "@" + run.run);
            if (lapsed) end(run, "lapsed");
            else if (stoppedAt != null && fleet.record.seconds() >= stoppedAt) end(run, "stopped");
            else if (!behavior.lasts && life.clock() - run.startedClock >= behavior.workMillis) end(run, "done");
        }
    }

    private void end(Run run, String ending) {
        life.running.remove(run);
        life.ended.add(new Object[] {life.nextEnd++, run.task, run.run, ending, "", run});
        life.highest.merge(run.task, run.run, Math::max);
        close(run, ending);
        notifyAll();
    }

    private void close(Run run, String ending) {
        run.endedAt = fleet.record.seconds();
        run.ending = ending;
        fleet.record.line("run ends " + run.task + " run=" + run.run + " worker=" + identifier + " how=" + ending);
    }

    private void handle(HttpExchange exchange, byte[] bytes) throws Exception {
        Map<String, Object> body = bytes.length == 0 ? Map.of() : Json.object(new String(bytes, "UTF-8"));
        Map<String, Object> answer = Json.of();
        int status;
        synchronized (this) {
            Life current = life;
            if (current == null) return;
            String intended = exchange.getRequestHeaders().getFirst("Dogwoodgrade-Expected-Instance");
            long token = Json.number(body.get("fencing-token"));
            if (intended != null && !intended.equals(identifier)) {
                status = 421;
            } else if (token < current.token) {
                status = 409;
                answer.put("reason", "fence");
            } else {
                current.token = token;
                String path = exchange.getRequestURI().getPath();
                status = switch (path) {
                    case "/run-start" -> begin(body, answer);
                    case "/run-stop" -> stop(body);
                    case "/hold" -> hold(current, body, answer);
                    case "/pace" -> 200;
                    default -> 404;
                };
                if (current.over || status == RESET) return;
                if (!path.equals("/hold")) fleet.record.line(path + " " + identifier + " task=" + body.get("task")
                        + " run=" + body.get("run") + " status=" + status + " " + answer);
            }
            answer.put("clock-ms", current.clock());
        }
        Web.answer(exchange, status, answer);
    }

    private void extend(Object deadline) {
        if (deadline == null) return;
        long latest = life.clock() + Fleet.MAX_HOLD_MILLIS;
        life.lease = Math.max(life.lease, Math.min(Json.number(deadline), latest));
    }

    private int begin(Map<String, Object> body, Map<String, Object> answer) {
        String task = (String) body.get("task");
        long number = Json.number(body.get("run"));
        if (Json.number(body.get("deadline-ms")) < life.clock()) {
            answer.put("reason", "late");
            return 409;
        }
        extend(body.get("deadline-ms"));
        for (Run run : life.running) {
            if (run.task.equals(task) && run.run == number) return 200;
        }
        if (number <= life.highest.getOrDefault(task, 0L)) {
            answer.put("reason", "old");
            return 409;
        }
        Run run = new Run(identifier, task, number, fleet.record.seconds(), life.clock());
        life.running.add(run);
        fleet.runs.add(run);
        return 200;
    }

    private int stop(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = Json.number(body.get("run"));
        life.highest.merge(task, number, Math::max);
        for (Run run : life.running) {
            if (run.task.equals(task) && run.run <= number) {
                life.stopping.putIfAbsent(task + "@" + run.run, fleet.record.seconds() + STOP_MILLIS / 1e3);
            }
        }
        return 200;
    }

    /** Forgets the ends of this life up to a number. */
    private void forget(Life current, long upTo) {
        for (Iterator<Object[]> ends = current.ended.iterator(); ends.hasNext();) {
            Object[] end = ends.next();
            if ((Long) end[0] > upTo) continue;
            fleet.record.line(identifier + " forgets end " + end[0] + " " + end[1] + ", ack-seq=" + upTo);
            ((Run) end[5]).acknowledged = true;
            acknowledged = Math.max(acknowledged, (Long) end[0]);
            ends.remove();
        }
    }

    private int hold(Life current, Map<String, Object> body, Map<String, Object> answer) throws InterruptedException {
        listedAt = fleet.record.seconds();
        long upTo = Json.number(body.get("ack-seq"));
        forget(current, upTo);
        extend(body.get("deadline-ms"));
        long until = current.clock() + Json.number(body.get("wait-ms"));
        int resetsBefore = resets;
        while (!current.over && resets == resetsBefore && current.ended.isEmpty() && current.clock() < until) {
            wait(Math.max(1, until - current.clock()));
        }
        if (resets != resetsBefore) return RESET;
        List<Object> running = new ArrayList<>();
        for (Run run : current.running) {
            Behavior behavior = fleet.behaviorOf(run.task);
            long worked = current.clock() - run.startedClock;
            long percent = Math.min(behavior.lasts ? 100 : 99, worked * 100 / Math.max(1, behavior.workMillis));
            running.add(List.of(run.task, run.run, "", percent, behavior.lasts ? 20 : 1000));
        }
        List<Object> ended = new ArrayList<>();
        for (Object[] end : current.ended) {
            if (ended.size() < MOST_ENDS) ended.add(List.of(end[0], end[1], end[2], end[3], end[4]));
        }
        answer.put("born", current.born);
        answer.put("running", running);
        answer.put("ended-runs", ended);
        return 200;
    }
}
