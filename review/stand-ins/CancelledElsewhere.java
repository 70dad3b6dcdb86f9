import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients hand jobs in at one node, and ask for them or cancel them at another one, while the store is slow. No task of
 * a job may start later than `cancel_ms` after its cancelling was answered.
 */
final class CancelledElsewhere implements Case.Script {
    private static final int CLIENTS = 4;
    private static final double CANCEL_S = 3;

    /** `contact-ms`: the machines are in touch when the store has been sound for so long. */
    private static final double CONTACT_S = 3;
    private static final double SLOW_S = 4.5;
    private static final double SLOWNESS = 60;
    private static final int ROUNDS = 3;

    /** Time that the first step works; the second one starts when the store has been sound for some time. */
    private static final long FIRST_MS = 30_000;
    private static final Map<String, Object> FIRST = Map.of("count", 1, "cpu", 500, "mem-mb", 500, "estimate-ms", 30000);
    private static final Map<String, Object> SECOND =
        Map.of("count", 1, "cpu", 500, "mem-mb", 500, "estimate-ms", 30000, "depends-on", List.of(0));

    @Override
    public String run(Fleet fleet, boolean trouble) throws Exception {
        fleet.configure(new Fleet.Queue("proofs", "/proofs/", 4));
        fleet.startNodes(3);
        Thread.sleep(2_000);
        // Time and status of the answer to the cancelling of each accepted job.
        Map<String, Object[]> cancelled = new ConcurrentHashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            if (trouble) {
                fleet.store.slowness = SLOWNESS;
                fleet.record.event("store", "slow");
            }
            double end = fleet.record.time() + SLOW_S;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = round * CLIENTS + i;
                Thread client = Threads.daemon(() -> {
                    for (int j = 0; fleet.record.time() < end - 0.5; j++) use(fleet, number, j, cancelled);
                });
                client.start();
                clients.add(client);
            }
            Thread.sleep(Math.max(0, (long) ((end - fleet.record.time()) * 1000)));
            fleet.store.slowness = 1;
            fleet.record.event("store", "sound, " + cancelled.size() + " jobs cancelled");
            for (Thread client : clients) client.join();
            Thread.sleep(4_000);
        }
        double soundAt = fleet.record.time() - 4;
        Thread.sleep(FIRST_MS + 4_000);
        int broken = 0;
        String example = "";
        for (Map.Entry<String, Object[]> entry : cancelled.entrySet()) {
            double answeredAt = (double) entry.getValue()[0];
            for (Run run : fleet.runsOf(entry.getKey())) {
                if (run.startedAt < answeredAt + CANCEL_S || run.startedAt < soundAt + CONTACT_S) continue;
                broken++;
                example = String.format("job %s was accepted, its DELETE was answered with %s at %.3f s, task %s starts"
                    + " at %.3f s", entry.getKey(), entry.getValue()[1], answeredAt, run.task, run.startedAt);
            }
        }
        return broken == 0 ? null : broken + " starts of cancelled jobs; " + example;
    }

    /** Hands a job in at the first node, and asks for it or cancels it at the second one. */
    private static void use(Fleet fleet, int client, int number, Map<String, Object[]> cancelled) {
        String job = String.format("%016x", 0xc1000000L + client * 0x10000 + number);
        fleet.declare(job, FIRST);
        String body = Json.write(Json.of("spec", "work=" + FIRST_MS, "steps", List.of(FIRST, SECOND)));
        if ((int) fleet.call(fleet.nodes.get(0), "POST", "/proofs/" + job, body)[0] != 200) return;
        if (client % 2 == 0) {
            fleet.call(fleet.nodes.get(1), "GET", "/proofs/" + job, null);
            return;
        }
        int status = (int) fleet.call(fleet.nodes.get(1), "DELETE", "/proofs/" + job, null)[0];
        if (status == 200 || status == 410) cancelled.put(job, new Object[] {fleet.record.time(), status});
    }
}
