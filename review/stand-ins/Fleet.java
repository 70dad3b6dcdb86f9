import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A small deployment on loopback addresses: a store, executors of one service in three zones, the service of machines,
 * clients, and nodes, which are started with the command of the deploy file.
 */
final class Fleet implements AutoCloseable {
    static final String SERVICE = "proofdesk";
    static final String KEY = "key-curators-1";
    static final String TENANT = "curators";

    /** Thrown if a case cannot run. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    /** A queue of the configuration. */
    record Queue(String name, String prefix, int attempts) {}

    /** A process of the system. */
    static final class Node {
        String name;
        String zone;
        Process process;
        int port;
        int readinessPort;
    }

    final Record record;
    final Store store;
    final List<Worker> workers = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();

    /** Every run of all executors. */
    final List<Run> runs = Collections.synchronizedList(new ArrayList<>());

    private final Map<String, long[]> requests = new ConcurrentHashMap<>();
    private final Machines machines;
    private final Path repository;
    private final Path temporary;
    private final HttpClient client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build();
    private long configurationVersion;

    Fleet(Path repository, Record record, int executors) throws IOException {
        this.repository = repository;
        this.record = record;
        temporary = Files.createTempDirectory("review-case");
        store = new Store(record);
        for (int i = 0; i < executors; i++) {
            workers.add(new Worker(String.format("i-7f3a91%02x", i), SERVICE, "zone-" + "abc".charAt(i % 3), store,
                record, requests, runs));
        }
        machines = new Machines(workers, record);
        for (Worker worker : workers) worker.start();
    }

    /** Publishes a configuration with these queues, as the operator. */
    void configure(Queue... queues) {
        List<Object> routes = new ArrayList<>();
        for (Queue queue : queues) {
            routes.add(Json.of("name", queue.name, "host", "proofs.example", "path-prefix", queue.prefix, "kind",
                "non_idempotent", "timeout-ms", 3000, "target-latency-ms", 600, "service", SERVICE, "max-attempts",
                queue.attempts, "slack-factor", 1.6, "public", false));
        }
        configurationVersion += 3;
        store.write("keyed.op", "config", Json.write(Json.of("version", configurationVersion, "routes", routes,
            "services", List.of(Json.of("name", SERVICE, "admission-control", true)), "tenants",
            List.of(Json.of("name", TENANT, "api-keys", List.of(KEY), "weight", 10.0)), "limits", Json.of())));
        record.event("operator", "configuration " + configurationVersion + " with queues "
            + Arrays.stream(queues).map(Queue::name).toList());
    }

    /** Starts nodes in the zones by turns and waits until all are ready. */
    void startNodes(int count) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            Node node = new Node();
            node.zone = "zone-" + "abc".charAt(i % 3);
            node.name = "frontend-" + node.zone + "-" + (i / 3 + 1);
            node.port = freePort();
            node.readinessPort = freePort();
            nodes.add(node);
            start(node);
        }
        await("all nodes are ready", 40, () -> nodes.stream().allMatch(this::isReady));
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    static int freePort() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                return port;
            } catch (BindException taken) {
                // Another port is tried.
            }
        }
        throw new CannotRun("no free port");
    }

    /** Starts the process of a node with the command of the deploy file. */
    void start(Node node) throws IOException {
        Path settings = temporary.resolve(node.name + ".json");
        Files.writeString(settings, Json.write(settings(node)));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(repository.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("DOGWOODGRADE_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(node).toFile()));
        node.process = builder.start();
        record.event(node.name, "started");
    }

    Path log(Node node) {
        return temporary.resolve(node.name + ".log");
    }

    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" +"));
            }
        }
        throw new CannotRun("the deploy file has no command");
    }

    /** Settings like those of the small deployments. */
    private Map<String, Object> settings(Node node) {
        Map<String, Object> zones = new LinkedHashMap<>();
        for (String zone : List.of("zone-a", "zone-b", "zone-c")) zones.put(zone, "region-1");
        return Json.of("node-name", node.name, "role", "node", "machine-class", "frontend", "serves",
            List.of("frontend"), "ip", "127.0.0.1", "zone", node.zone, "region", "region-1", "seeds", List.of(),
            "bootstrap", true, "discovery", "platform", "entry", "virtual_ip", "heartbeat-ms", 1500, "control-mode",
            "invocation", "zones", zones,
            "listen", Json.of("frontend", "127.0.0.1:" + node.port, "readiness", "127.0.0.1:" + node.readinessPort),
            "limits", Json.of("cpu-share", 0.75, "cores", 1, "memory-mb", 430, "max-fds", 4100),
            "fault-tolerance", Json.of("machines", 2, "zones", 1, "region-count", 0),
            "bounds", Json.of("contact-ms", 3000, "ack-ms", 4000, "grace-s", 6, "config-apply-ms", 2000,
                "max-hold-ms", 10000, "stop-ms", 400, "gang-timeout-ms", 3000, "cancel_ms", 3000, "visible_ms", 3000,
                "early_ms", 250, "finish_s", 14, "status_s", 120, "checkpoint-s", 2, "restore-ms", 100, "migrate-s",
                1.5, "maintenance-s", 2, "fencing-enforced", true, "lease-ms", 3000),
            "platform", Json.of("address", store.address(), "form", "log", "writes-per-s", 600, "reads-per-s", 2000,
                "parts", 8, "append-ms", 4.0, "partition-mb-s", 20.0, "read-mb-s", 80.0, "max-record-bytes",
                Store.MAX_RECORD_BYTES, "max-call-bytes", Store.MAX_CALL_BYTES, "keep_s", 300, "partition-mb", 200,
                "min-ttl-ms", 1000),
            "cloud-api", Json.of("address", machines.address(), "rate-per-s", 64.0, "duties", List.of(),
                "duty-per-s", 64.0));
    }

    private boolean isReady(Node node) {
        try {
            HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.readinessPort + "/readyz"))
                    .timeout(Duration.ofSeconds(1)).build();
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
        } catch (IOException failure) {
            return false;
        } catch (InterruptedException interrupted) {
            throw new CannotRun("interrupted");
        }
    }

    /** Returns the node that owns the fleet, by its metrics, or null. */
    Node owner() {
        for (Node node : nodes) {
            if (!node.process.isAlive()) continue;
            try {
                HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.readinessPort + "/metrics"))
                        .timeout(Duration.ofSeconds(1)).build();
                String text = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
                for (String line : text.split("\n")) {
                    if (line.startsWith("dogwoodgrade_owned_epoch") && !line.endsWith(" 0") && !line.endsWith(" 0.0")) {
                        return node;
                    }
                }
            } catch (IOException failure) {
                record.event("harness", "no metrics of " + node.name + ": " + failure);
            } catch (InterruptedException interrupted) {
                throw new CannotRun("interrupted");
            }
        }
        return null;
    }

    /** Sends a client's call to a node. Returns status and body, or 0 if there was no response. */
    Object[] call(Node node, String method, String path, String body) {
        HttpRequest.BodyPublisher publisher =
            body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.port + path))
            .timeout(Duration.ofSeconds(3)).header("Host", "proofs.example").header("Api-Key", KEY)
            .header("Content-Type", "application/json").header("Dogwoodgrade-Deadline-Ms", "3000")
            .method(method, publisher).build();
        Object[] result;
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            result = new Object[] {response.statusCode(), response.body()};
        } catch (IOException failure) {
            result = new Object[] {0, failure.toString()};
        } catch (InterruptedException interrupted) {
            throw new CannotRun("interrupted");
        }
        record.event("client", method + " " + path + " at " + node.name + " -> " + result[0] + " " + result[1]);
        return result;
    }

    /** Hands a job of one step in, at any node and again after no answer, until it is accepted. */
    void submit(String prefix, String job, String spec, Map<String, Object> step) throws InterruptedException {
        declare(job, step);
        submit(prefix, job, Json.write(Json.of("spec", spec, "steps", List.of(step))));
    }

    /** Hands a job in with this body. */
    void submit(String prefix, String job, String body) throws InterruptedException {
        for (int attempt = 0; attempt < 10; attempt++) {
            Node node = nodes.get(attempt % nodes.size());
            if (node.process.isAlive() && (int) call(node, "POST", prefix + job, body)[0] == 200) return;
            Thread.sleep(500);
        }
        throw new CannotRun("job " + job + " was not accepted");
    }

    /** Tells the executors what each task of a job takes. */
    void declare(String job, Map<String, Object> step) {
        requests.put(job, new long[] {Json.number(step, "cpu", 0), Json.number(step, "mem-mb", 0)});
    }

    /** Returns the state of a job as the first node shows it that answers, or the status. */
    String state(String prefix, String job) {
        String last = "";
        for (Node node : nodes) {
            if (!node.process.isAlive()) continue;
            Object[] result = call(node, "GET", prefix + job, null);
            if ((int) result[0] == 200) return Json.string(Json.object((String) result[1]), "state");
            last = "status " + result[0];
        }
        return last;
    }

    /** Kills the process of a node; it stays down until it is started again. */
    void kill(Node node) throws InterruptedException {
        node.process.destroyForcibly().waitFor();
        record.event(node.name, "killed");
    }

    List<Run> runsOf(String job) {
        synchronized (runs) {
            return runs.stream().filter(run -> run.job().equals(job)).toList();
        }
    }

    /** Waits until a condition holds. */
    void await(String what, double seconds, BooleanSupplier condition) throws InterruptedException {
        if (!awaited(seconds, condition)) throw new CannotRun("did not happen within " + seconds + " s: " + what);
    }

    /** Returns whether a condition holds within some seconds. */
    boolean awaited(double seconds, BooleanSupplier condition) throws InterruptedException {
        double end = record.time() + seconds;
        while (!condition.getAsBoolean()) {
            if (record.time() > end) return false;
            Thread.sleep(5);
        }
        return true;
    }

    /** Ends all processes that this fleet started, and removes its temporary folder. */
    @Override
    public void close() throws IOException {
        for (Node node : nodes) {
            if (node.process != null) node.process.destroyForcibly();
        }
        for (Node node : nodes) {
            try {
                if (node.process != null) node.process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        String keep = System.getenv("KEEP_LOGS");
        for (File file : temporary.toFile().listFiles()) {
            if (keep != null) Files.copy(file.toPath(), Path.of(keep).resolve(file.getName()),
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            Files.delete(file.toPath());
        }
        Files.delete(temporary);
    }
}
