import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;

/** The service of machines. It lists the executors' machines; no case needs a move or an upkeep, so it refuses these. */
final class Machines {
    private final HttpServer server;
    private final List<Worker> workers;
    private final Record record;

    Machines(List<Worker> workers, Record record) throws IOException {
        this.workers = workers;
        this.record = record;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(Threads::daemon));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void handle(HttpExchange call) throws IOException {
        call.getRequestBody().readAllBytes();
        if (!call.getRequestURI().getPath().equals("/machines")) {
            record.event("machines", "refuses " + call.getRequestURI());
            Http.answer(call, 409, Json.write(Json.of("reason", "busy")).getBytes(StandardCharsets.UTF_8));
            call.close();
            return;
        }
        List<Object> machines = new ArrayList<>();
        for (Worker worker : workers) {
            machines.add(Json.of("machine", worker.machine, "pool", worker.service, "state",
                worker.isUp() ? "up" : "down", "zone", worker.zone, "labels", List.of("a", "r-" + worker.zone),
                "capacity", Json.of("cpu", Worker.CPU, "mem-mb", Worker.MEMORY_MB, "gpu", 0), "id", worker.id));
        }
        Http.answer(call, 200, Json.write(Json.of("machines", machines)).getBytes(StandardCharsets.UTF_8));
        call.close();
    }
}
