import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A job whose tasks fail at once, and an operator who removes its queue after the first failures. No task may start
 * after as many of its runs have failed as its queue ever allowed. Small jobs on another queue must go on to start and
 * complete meanwhile.
 */
final class RemovedQueue implements Case.Script {
    private static final int ATTEMPTS = 4;
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final Fleet.Queue LASTING = new Fleet.Queue("thumbs", "/thumbs/", ATTEMPTS);
    private static final Fleet.Queue REMOVED = new Fleet.Queue("proofs", "/proofs/", ATTEMPTS);

    /** The largest job of the class `proof-scan`: 4 steps of 24 tasks. */
    private static final int STEPS = 4;
    private static final Map<String, Object> STEP =
        Map.of("count", 24, "cpu", 2000, "mem-mb", 4000, "estimate-ms", 1000);
    private static final double TRAFFIC_ENDS = 85;

    @Override
    public String run(Fleet fleet, boolean trouble) throws Exception {
        fleet.configure(LASTING, REMOVED);
        fleet.startNodes(3);
        fleet.declare(JOB, STEP);
        List<Object> steps = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) steps.add(STEP);
        fleet.submit("/proofs/", JOB, Json.write(Json.of("spec", "work=40 fail=1", "steps", steps)));
        fleet.await("the first run has failed", 20,
            () -> fleet.runsOf(JOB).stream().anyMatch(run -> "failed".equals(run.how)));
        if (trouble) fleet.configure(LASTING);
        SmallJobs small = new SmallJobs(fleet, "/thumbs/");
        small.handInUntil(TRAFFIC_ENDS);
        String starving = small.starving();
        fleet.record.event("judge", "LOST: " + (starving == null ? "not broken" : starving));
        String beyond = startsBeyondAttempts(fleet);
        fleet.record.event("judge", "BUDGET: " + (beyond == null ? "not broken" : beyond));
        if (!trouble) {
            String state = fleet.state("/proofs/", JOB);
            if (!state.equals("failed")) return "the job is shown as " + state;
        }
        if (beyond == null) return starving;
        return beyond + (starving == null ? "" : "; besides, " + starving);
    }

    private static String startsBeyondAttempts(Fleet fleet) {
        Map<String, List<Run>> byTask = new HashMap<>();
        for (Run run : fleet.runsOf(JOB)) byTask.computeIfAbsent(run.task, task -> new ArrayList<>()).add(run);
        int starts = 0;
        int most = 0;
        for (List<Run> runs : byTask.values()) {
            most = Math.max(most, runs.size());
            int failed = 0;
            for (Run run : runs) {
                if (failed >= ATTEMPTS) starts++;
                // Runs of one task follow each other; an end counts once it has been taken note of.
                if ("failed".equals(run.how) && !Double.isNaN(run.notedAt)) failed++;
            }
        }
        return starts == 0 ? null : starts + " starts after " + ATTEMPTS + " runs of the task had ended failed and were"
            + " taken note of; the most runs of one task are " + most;
    }
}
