import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A job of many small tasks, which end while the store is down. No task may start again after a run of it has ended
 * done, if that end is taken note of.
 */
final class ManyEnds implements Case.Script {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int TASKS = 1_500;

    /** Time for which the store is down. */
    private static final long DOWN_MS = 4_500;

    @Override
    public String run(Fleet fleet, boolean trouble) throws Exception {
        fleet.configure(new Fleet.Queue("proofs", "/proofs/", 4));
        fleet.startNodes(3);
        // Tasks of one job differ in their duration by up to a fifth.
        fleet.submit("/proofs/", JOB, "work=10000 spread=20", Map.of("count", TASKS, "cpu", 40, "mem-mb", 100,
            "estimate-ms", 10000));
        fleet.await("all tasks run", 30, () -> fleet.runsOf(JOB).size() >= TASKS);
        fleet.await("the first tasks have ended", 30, () -> done(fleet) >= TASKS / 50);
        if (trouble) {
            fleet.store.busy = true;
            fleet.record.event("store", "down");
            Thread.sleep(DOWN_MS);
            fleet.store.busy = false;
            fleet.record.event("store", "up again");
        }
        fleet.awaited(40, () -> done(fleet) >= TASKS && fleet.state("/proofs/", JOB).equals("completed"));
        Thread.sleep(3_000);
        return startsAfterDone(fleet);
    }

    private static long done(Fleet fleet) {
        return fleet.runsOf(JOB).stream().filter(run -> "done".equals(run.how)).count();
    }

    /** Returns what starts of tasks came after a run of them had ended done that was taken note of, or null. */
    static String startsAfterDone(Fleet fleet) {
        Map<String, List<Run>> byTask = new HashMap<>();
        for (Run run : fleet.runsOf(JOB)) byTask.computeIfAbsent(run.task, task -> new ArrayList<>()).add(run);
        int broken = 0;
        String example = "";
        for (List<Run> runs : byTask.values()) {
            for (Run first : runs) {
                if (!"done".equals(first.how) || Double.isNaN(first.notedAt)) continue;
                // An end does not count as taken note of if the lease lapsed between the two.
                Worker worker = fleet.workers.stream().filter(w -> w.id.equals(first.executor)).findFirst().orElseThrow();
                if (worker.lapsedBetween(first.endedAt, first.notedAt)) continue;
                for (Run second : runs) {
                    if (second.startedAt <= first.endedAt) continue;
                    broken++;
                    example = String.format("task %s: run %d ended done on %s at %.3f s and was taken note of at %.3f s;"
                        + " run %d starts on %s at %.3f s", first.task, first.number, first.executor, first.endedAt,
                        first.notedAt, second.number, second.executor, second.startedAt);
                }
            }
        }
        return broken == 0 ? null : broken + " starts after a run that had ended done; " + example;
    }
}
