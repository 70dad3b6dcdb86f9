import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The platform's machine service. It lists machines and does their upkeep; moves are refused. */
final class Machines {
    private static final double UPKEEP_SECONDS = 2;

    /** A machine, and the executor that runs on it. */
    private static final class Machine {
        Worker worker;
        String state = "up";
        long token;
        int lives = 1;
        final Set<Long> waves = new HashSet<>();
    }

    private final Fleet fleet;
    private final Web web;
    private final Map<String, Machine> machines = new LinkedHashMap<>();

    /** Machine whose next order for upkeep is not answered and carried out later, or {@code null}. */
    private String lateMachine;
    private double lateSeconds;

    /** Beginnings of upkeep: the machine and how many others of the wave were down for theirs. */
    final List<Map.Entry<String, Integer>> beginnings = new ArrayList<>();

    Machines(Fleet fleet) throws IOException {
        this.fleet = fleet;
        web = new Web(0, this::handle);
    }

    int port() {
        return web.port;
    }

    synchronized void add(String name, Worker worker) {
        Machine machine = new Machine();
        machine.worker = worker;
        machines.put(name, machine);
    }

    /** Lets the next order for the upkeep of a machine go without an answer; it is carried out after some seconds. */
    synchronized void delayNextUpkeep(String name, double seconds) {
        lateMachine = name;
        lateSeconds = seconds;
    }

    /** Tells whether the order that is carried out late has arrived. */
    synchronized boolean lateOrderArrived() {
        return lateSeconds > 0 && lateMachine == null;
    }

    private void handle(HttpExchange exchange, byte[] bytes) throws Exception {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/machines")) {
            Web.answer(exchange, 200, Json.of("machines", list(), "next-token", null));
            return;
        }
        Map<String, Object> body = Json.object(new String(bytes, "UTF-8"));
        String holder = exchange.getRequestHeaders().getFirst("Dogwoodgrade-Lease-Holder");
        long token = Long.parseLong(exchange.getRequestHeaders().getFirst("Dogwoodgrade-Fencing-Token"));
        String text = path + " " + body + " holder=" + holder + " token=" + token;
        fleet.record.line("machine service <- " + text);
        String name = (String) body.get("machine");
        boolean late;
        synchronized (this) {
            late = path.equals("/machine-upkeep") && name.equals(lateMachine);
            if (late) lateMachine = null;
        }
        if (late) {
            Fleet.thread("late order", () -> {
                try {
                    Thread.sleep((long) (lateSeconds * 1000));
                } catch (InterruptedException failure) {
                    return;
                }
                fleet.record.line("machine service carries out late: " + text);
                fleet.record.line("machine service: " + order(path, body, token));
            });
            Thread.sleep((long) (lateSeconds * 2000));
            return;
        }
        String refusal = order(path, body, token);
        fleet.record.line("machine service -> " + name + ": " + refusal);
        if (refusal.isEmpty()) Web.answer(exchange, 200, Json.of());
        else Web.answer(exchange, 409, Json.of("reason", refusal));
    }

    private synchronized List<Object> list() {
        List<Object> rows = new ArrayList<>();
        machines.forEach((name, machine) -> {
            Map<String, Object> row = machine.worker.machine(name);
            row.put("state", machine.state.equals("up") && !machine.worker.isUp() ? "down" : machine.state);
            if (!machine.state.equals("up")) row.put("id", null);
            rows.add(row);
        });
        return rows;
    }

    /** Carries out an order. Returns the reason why it was refused, or an empty text. */
    private synchronized String order(String path, Map<String, Object> body, long token) {
        String name = (String) body.get("machine");
        Machine machine = machines.get(name);
        if (token < machine.token) return "fence";
        machine.token = token;
        if (!path.equals("/machine-upkeep")) return "busy";
        long wave = Json.number(body.get("wave"));
        if (machine.waves.contains(wave)) return "";
        if (!machine.state.equals("up") || !machine.worker.isUp()) return "busy";
        int down = (int) machines.values().stream().filter(other -> other.state.equals("upkeep")).count();
        beginnings.add(Map.entry(name, down));
        fleet.record.line("upkeep of " + name + " begins, down for theirs: " + down);
        machine.waves.add(wave);
        machine.state = "upkeep";
        machine.worker.leave();
        Fleet.thread("upkeep", () -> returnFrom(name, machine));
        return "";
    }

    private void returnFrom(String name, Machine machine) {
        try {
            Thread.sleep((long) (UPKEEP_SECONDS * 1000));
            synchronized (this) {
                machine.lives++;
                machine.worker = fleet.nextLife(machine.worker, machine.lives);
                machine.worker.start();
                machine.state = "up";
                fleet.record.line("upkeep of " + name + " ends");
            }
        } catch (IOException | InterruptedException failure) {
            fleet.record.line("upkeep of " + name + " does not end: " + failure);
        }
    }
}
