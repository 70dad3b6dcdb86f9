import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the project's nodes as processes, and stand-ins for everything else. */
final class Fleet {
    static final long HEARTBEAT_MILLIS = 1500;
    static final long MAX_HOLD_MILLIS = 6000;
    static final int DEADLINE_MILLIS = 3000;
    static final String HOST = "pule25.example";
    static final String POOL = "huvo11a";
    static final String TENANT_KEY = "sjnbanfqasnmgkcuyj8p";
    static final String NEW_TENANT_KEY = "jbvk9m68k7b2ex5wa5xw";
    static final String OTHER_TENANT_KEY = "tk7w2m68k7b2ex5wa5xw";

    private static final int ENTRY_LAPSE_BEATS = 3;
    private static final List<String> ZONES = List.of("qc-sud-a", "qc-sud-b", "qc-sud-c");

    final Record record;
    final Store store = new Store();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final Map<String, Long> beatsAt = new ConcurrentHashMap<>();
    final List<Worker.Run> runs = Collections.synchronizedList(new ArrayList<>());
    final Machines machines;
    private final Map<String, Worker.Behavior> behaviors = new ConcurrentHashMap<>();
    private final Path folder;
    private final String[] command;

    /** One of the project's processes, with its own link to the store. */
    final class Node {
        final String name;
        final int callers = freePort();
        final int readiness = freePort();
        final Proxy link = new Proxy(store.port());
        private final String zone;
        private final Path settings;
        Process process;

        Node(String name, String zone) throws IOException {
            this.name = name;
            this.zone = zone;
            settings = folder.resolve(name + ".json");
            writeSettings();
        }

        void writeSettings() throws IOException {
            Files.writeString(settings, Json.write(settingsOf(this, zone)));
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command);
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("DOGWOODGRADE_BOOT", settings.toString());
            Path log = folder.resolve(name + ".log");
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            record.line("node " + name + " starts");
        }

        boolean ready() {
            try {
                return call(readiness, "GET", "/readyz", null, null, null, 1000).status == 200;
            } catch (IOException failure) {
                return false;
            }
        }
    }

    /** An answer to a call; status 0 stands for none. */
    static final class Answer {
        final int status;
        final String body;

        Answer(int status, String body) {
            this.status = status;
            this.body = body;
        }

        @Override
        public String toString() {
            return status == 0 ? "no answer (" + body + ")" : status + " " + body;
        }
    }

    Fleet(Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("dogwoodgrade-review-");
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml names no command");
        command = run.group(1).split(" ");
        machines = new Machines(this);
        daemon("lapsed entries", 100, this::removeLapsedEntries);
    }

    /** Ends all processes that were started, and removes the temporary folder. */
    void close() {
        for (Node node : nodes.values()) {
            if (node.process == null) continue;
            node.process.destroyForcibly();
            try {
                node.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException failure) {
                return;
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(file);
        } catch (IOException failure) {
            System.err.println("temporary folder not removed: " + failure);
        }
    }

    void addWorkers(String... racks) throws IOException {
        for (String rack : racks) {
            String identifier = "i-" + (workers.size() + 1) + "f3a91c2";
            String zone = ZONES.get(workers.size() % ZONES.size());
            Worker worker = new Worker(this, identifier, POOL, zone, rack);
            machines.add("m-" + (workers.size() + 1), worker);
            workers.put(identifier, worker);
            worker.start();
        }
    }

    /** Returns the executor that comes after one has left its machine; it has an identifier of its own. */
    Worker nextLife(Worker worker, int life) throws IOException {
        String identifier = worker.identifier + "-" + life;
        return new Worker(this, identifier, worker.pool, worker.zone, worker.rack);
    }

    /** Asks the system for the upkeep of machines, as the operator does. */
    void requestWave(int number, int durationSeconds, int cap, List<String> names) {
        record.line("operator: wave " + number + " of " + names + ", cap " + cap);
        store.put("keyed.op", "wave/" + number,
                Json.write(Json.of("wave", number, "machines", names, "duration-s", durationSeconds, "cap", cap)));
    }

    void addNodes(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            String zone = ZONES.get(i % ZONES.size());
            String name = "frontend-" + zone + "-" + (1 + i / ZONES.size());
            nodes.put(name, new Node(name, zone));
        }
        for (Node node : nodes.values()) node.start();
    }

    /** Waits until all nodes are ready, and one of them owns the fleet. Returns whether that came in time. */
    boolean awaitReady(double limitSeconds) throws InterruptedException {
        double until = record.seconds() + limitSeconds;
        while (record.seconds() < until) {
            if (owner() != null && nodes.values().stream().allMatch(Node::ready)) {
                record.line("all nodes are ready, owner=" + owner());
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the name of the node that holds the fleet according to the metrics, or {@code null}. */
    String owner() {
        for (Node node : nodes.values()) {
            try {
                String metrics = call(node.readiness, "GET", "/metrics", null, null, null, 1000).body;
                Matcher epoch = Pattern.compile("(?m)^\\w*(?:own|epoch)\\w* ([0-9.]+)$").matcher(metrics);
                if (epoch.find() && Double.parseDouble(epoch.group(1)) > 0) return node.name;
            } catch (IOException failure) {
                // The node does not run.
            }
        }
        return null;
    }

    Worker.Behavior behaviorOf(String task) {
        return behaviors.getOrDefault(task.substring(0, task.indexOf('.')), new Worker.Behavior(1000, false));
    }

    /** Says what the tasks of a job do when they run. */
    void tasksOf(String job, Worker.Behavior behavior) {
        behaviors.put(job, behavior);
    }

    List<Worker.Run> runsOf(String job) {
        synchronized (runs) {
            return runs.stream().filter(run -> run.task.startsWith(job + ".")).toList();
        }
    }

    /** Sends a call of a client to a node, and records the answer. */
    Answer request(Node node, String method, String path, String key, Object body) {
        return request(node, method, path, key, body, DEADLINE_MILLIS);
    }

    /** Sends a call of a client that leaves after some time, though its deadline is later. */
    Answer request(Node node, String method, String path, String key, Object body, int patienceMillis) {
        String text = body == null ? null : Json.write(body);
        record.line("client -> " + node.name + " " + method + " " + path + (text == null ? "" : " " + text));
        Answer answer;
        try {
            answer = call(node.callers, method, path, key, text, DEADLINE_MILLIS, patienceMillis);
        } catch (IOException failure) {
            answer = new Answer(0, failure.getClass().getSimpleName());
        }
        record.line("client <- " + node.name + " " + method + " " + path + ": " + answer);
        return answer;
    }

    private static Answer call(
            int port, String method, String path, String key, String body, Integer deadline, int timeoutMillis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n");
            head.append("Connection: close\r\nContent-Length: ").append(content.length).append("\r\n");
            if (content.length > 0) head.append("Content-Type: application/json\r\n");
            if (key != null) head.append("Api-Key: ").append(key).append("\r\n");
            if (deadline != null) head.append("Dogwoodgrade-Deadline-Ms: ").append(deadline).append("\r\n");
            OutputStream out = socket.getOutputStream();
            out.write((head + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.write(content);
            out.flush();
            InputStream in = socket.getInputStream();
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            if (text.isEmpty()) throw new IOException("connection closed");
            int end = text.indexOf("\r\n\r\n");
            return new Answer(Integer.parseInt(text.substring(9, 12)), end < 0 ? "" : text.substring(end + 4));
        }
    }

    /** Publishes a configuration: two queues of tenants and a public one, and two tenants with a key each. */
    void publishConfiguration(int version, String tenantKey) {
        record.line("operator: configuration " + version + ", key of the first tenant " + tenantKey);
        store.put("keyed.op", "config", Json.write(Json.of(
                "version", version,
                "routes", List.of(
                        route("r-tyiikdr", "/puxa400/", 3, 1.6, 600, false),
                        route("r-w63is47", "/wuhu344/", 3, 1.6, 600, false),
                        route("r-gy35iei", "/tije37/", 4, 2.2, 2500, true)),
                "services", List.of(Json.of("name", POOL, "health-path", "/healthz", "max-conns", 64, "protocol", "h1",
                        "tls", false, "admission-control", true, "standby", false)),
                "tenants", List.of(tenant("cugo130", tenantKey), tenant("defa221", OTHER_TENANT_KEY)))));
    }

    private static Object route(
            String name, String prefix, int attempts, double slack, int latency, boolean isPublic) {
        return Json.of("name", name, "host", HOST, "path-prefix", prefix, "kind", "non_idempotent", "timeout-ms", 3000,
                "target-latency-ms", latency, "priority", 0, "service", POOL, "max-attempts", attempts,
                "slack-factor", slack, "public", isPublic);
    }

    private static Object tenant(String name, String key) {
        return Json.of("name", name, "api-keys", List.of(key), "priority", 1, "weight", 41,
                "cap", Json.of("cpu", 2147614, "mem-mb", 3084124, "gpu", 0));
    }

    private Map<String, Object> settingsOf(Node node, String zone) {
        String local = "127.0.0.1:";
        return Json.of(
                "node-name", node.name, "role", "node", "machine-class", "frontend", "serves", List.of("frontend"),
                "ip", "127.0.0.1", "zone", zone, "region", "qc-sud",
                "zones", Json.of("qc-sud-a", "qc-sud", "qc-sud-b", "qc-sud", "qc-sud-c", "qc-sud"),
                "listen", Json.of("frontend", local + node.callers, "readiness", local + node.readiness),
                "seeds", List.of(), "bootstrap", true,
                "limits", Json.of("cpu-share", 0.75, "cores", 1, "memory-mb", 430, "max-fds", 4100, "link-mbps", 1000.0,
                        "disk-mb", 0),
                "discovery", "platform", "entry", "virtual_ip", "heartbeat-ms", HEARTBEAT_MILLIS,
                "contracts", List.of("base", "drain", "config", "cost", "recover", "sched", "tenants", "quota",
                        "places", "platform", "advice", "upkeep", "sharing"),
                "bounds", Json.of("contact-ms", 3000, "ack-ms", 4000, "drain-ms", 2000, "grace-s", 6,
                        "config-apply-ms", 2000, "max-skew-ms", 5000, "evacuate-ms", 5000, "recovery-s", 12,
                        "max-hold-ms", MAX_HOLD_MILLIS, "stop-ms", 400, "gang-timeout-ms", 3000, "cancel_ms", 3000,
                        "visible_ms", 3000, "early_ms", 250, "finish_s", 14, "status_s", 120, "restore-ms", 600,
                        "notice-ms", 4500, "migrate-s", 1.5, "maintenance-s", 2, "fencing-enforced", true,
                        "lease-ms", 3000, "pace-ms", 100, "harm-ms", 4000),
                "control-mode", "invocation",
                "platform", Json.of("address", local + node.link.port(), "form", "log", "writes-per-s", 800,
                        "reads-per-s", 2000, "parts", 8, "append-ms", 4.0, "max-record-bytes", 262144,
                        "max-call-bytes", 2097152, "keep_s", 300, "partition-mb", 200, "min-ttl-ms", 1000),
                "cloud-api", Json.of("address", local + machines.port(), "rate-per-s", 64.0, "duties", List.of(),
                        "duty-per-s", 64.0));
    }

    private void removeLapsedEntries() {
        for (Map.Entry<String, Long> beat : Map.copyOf(beatsAt).entrySet()) {
            long silent = (System.nanoTime() - beat.getValue()) / 1_000_000;
            if (silent > ENTRY_LAPSE_BEATS * HEARTBEAT_MILLIS && beatsAt.remove(beat.getKey(), beat.getValue())) {
                record.line("platform removes the entry of " + beat.getKey());
                store.put("keyed.servers", beat.getKey(), null);
            }
        }
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new java.io.UncheckedIOException(failure);
        }
    }

    static void thread(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
    }

    void daemon(String name, long pauseMillis, Runnable body) {
        thread(name, () -> {
            while (true) {
                try {
                    body.run();
                    Thread.sleep(pauseMillis);
                } catch (InterruptedException failure) {
                    return;
                }
            }
        });
    }
}
