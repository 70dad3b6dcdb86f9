import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A steady stream of small jobs on a queue of their own, by which a case sees whether accepted work goes on to run. */
final class SmallJobs {
    /** `finish_s` of the settings. */
    private static final double FINISH = 14;

    /** Time for which a job has nothing running although its turn has come. */
    private static final double NOTHING_RUNS = 3;
    private static final int TASKS = 2;
    private static final long CPU = 2_000;

    private final Fleet fleet;
    private final String prefix;

    /** Accepted jobs, and when they were accepted. */
    private final Map<String, Double> accepted = new LinkedHashMap<>();

    SmallJobs(Fleet fleet, String prefix) {
        this.fleet = fleet;
        this.prefix = prefix;
    }

    /** Hands in a job a second until a time. */
    void handInUntil(double end) throws InterruptedException {
        for (int i = 0; fleet.record.time() < end; i++) {
            String job = String.format("%016x", 0xa1000000L + i);
            try {
                fleet.submit(prefix, job, "work=500", Map.of("count", TASKS, "cpu", CPU, "mem-mb", 4000, "estimate-ms",
                    500));
                accepted.put(job, fleet.record.time());
            } catch (Fleet.CannotRun refused) {
                fleet.record.event("client", "gives up on handing in " + job);
            }
            Thread.sleep(1000);
        }
    }

    /**
     * Waits for `finish_s` after the end of the traffic, and returns which jobs have nothing running for 3 s although
     * their tasks' turn has come and the service has capacity, or null if there is none.
     */
    String starving() throws InterruptedException {
        Thread.sleep((long) (FINISH * 1000));
        List<String> waiting = new ArrayList<>();
        for (String job : accepted.keySet()) {
            if (fleet.runsOf(job).stream().filter(run -> "done".equals(run.how)).count() < TASKS) waiting.add(job);
        }
        if (waiting.isEmpty()) return null;
        double from = fleet.record.time();
        long mostCpu = 0;
        while (fleet.record.time() < from + NOTHING_RUNS) {
            mostCpu = Math.max(mostCpu, fleet.workers.stream().mapToLong(Worker::usedCpu).sum());
            Thread.sleep(50);
        }
        List<String> idle = waiting.stream().filter(job -> fleet.runsOf(job).stream()
            .allMatch(run -> run.endedAt < from)).toList();
        if (idle.isEmpty() || mostCpu * 2 >= fleet.workers.size() * Worker.CPU) return null;
        String first = idle.get(0);
        return String.format("%d of %d accepted small jobs have nothing running %.0f s after the end of the traffic, for"
            + " %.0f s, with at most %d of %d thousandths of a core in use; the first, %s, was accepted at %.3f s, had %d"
            + " runs and is shown as %s", idle.size(), accepted.size(), FINISH, NOTHING_RUNS, mostCpu,
            fleet.workers.size() * Worker.CPU, first, accepted.get(first), fleet.runsOf(first).size(),
            fleet.state(prefix, first));
    }
}
