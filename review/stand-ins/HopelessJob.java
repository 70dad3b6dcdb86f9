import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A steady stream of small jobs, and one job of 3,000 tasks, the most that the system accepts. The tasks of that job
 * save their progress and always fail. The small jobs must go on to start and complete.
 */
final class HopelessJob implements Case.Script {
    private static final String LARGE_JOB = "5c0e7a21d94b36f8";
    private static final int TASKS = 3_000;
    private static final int ATTEMPTS = 4;
    private static final double TRAFFIC_ENDS = 62;

    /** `finish_s` of the settings. */
    private static final double FINISH = 14;

    /** Time for which a job has nothing running although its turn has come. */
    private static final double NOTHING_RUNS = 3;

    @Override
    public String run(Fleet fleet, boolean trouble) throws Exception {
        fleet.configure(new Fleet.Queue("proofs", "/proofs/", ATTEMPTS), new Fleet.Queue("thumbs", "/thumbs/", ATTEMPTS));
        fleet.startNodes(3);
        fleet.submit("/proofs/", LARGE_JOB, "work=9000 saves=1" + (trouble ? " fail=1" : ""),
            Map.of("count", TASKS, "cpu", 100, "mem-mb", 50, "estimate-ms", 9000, "saves-progress", true));
        Map<String, Double> small = new LinkedHashMap<>();
        for (int i = 0; fleet.record.time() < TRAFFIC_ENDS; i++) {
            String job = String.format("%016x", 0xa1000000L + i);
            try {
                fleet.submit("/thumbs/", job, "work=500", Map.of("count", 2, "cpu", 2000, "mem-mb", 4000,
                    "estimate-ms", 500));
                small.put(job, fleet.record.time());
            } catch (Fleet.CannotRun refused) {
                fleet.record.event("client", "gives up on handing in " + job);
            }
            Thread.sleep(1000);
        }
        Thread.sleep((long) (FINISH * 1000));
        List<String> waiting = new ArrayList<>();
        for (String job : small.keySet()) {
            if (fleet.runsOf(job).stream().filter(run -> "done".equals(run.how)).count() < 2) waiting.add(job);
        }
        if (waiting.isEmpty()) return null;
        // The largest use of the service during the time in which the jobs have nothing running.
        double from = fleet.record.time();
        int mostRuns = 0;
        while (fleet.record.time() < from + NOTHING_RUNS) {
            mostRuns = Math.max(mostRuns, fleet.workers.stream().mapToInt(Worker::runCount).sum());
            Thread.sleep(50);
        }
        List<String> idle = waiting.stream().filter(job -> fleet.runsOf(job).stream()
            .allMatch(run -> run.endedAt < from)).toList();
        if (idle.isEmpty()) return null;
        String job = idle.get(0);
        if (mostRuns * 2 > fleet.workers.size() * Worker.CPU / 2000) return null;
        return idle.size() + " of " + small.size() + " accepted small jobs have nothing running " + FINISH
            + " s after the end of the traffic, for " + NOTHING_RUNS + " s, with at most " + mostRuns
            + " runs on all executors; the first, " + job + ", was accepted at " + small.get(job) + " s, had "
            + fleet.runsOf(job).size() + " runs and is shown as " + fleet.state("/thumbs/", job);
    }
}
