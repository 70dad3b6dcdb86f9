import java.util.List;
import java.util.Map;

/**
 * A job whose tasks always fail, and an operator who removes its queue after its first failure. No task may start after
 * as many of its runs have failed as its queue ever allowed.
 */
final class RemovedQueue implements Case.Script {
    private static final int ATTEMPTS = 4;
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final Fleet.Queue LASTING = new Fleet.Queue("thumbs", "/thumbs/", ATTEMPTS);
    private static final Fleet.Queue REMOVED = new Fleet.Queue("proofs", "/proofs/", ATTEMPTS);

    @Override
    public String run(Fleet fleet, boolean trouble) throws Exception {
        fleet.configure(LASTING, REMOVED);
        fleet.startNodes(3);
        fleet.submit("/proofs/", JOB, "work=1500 fail=1", Map.of("count", 1, "cpu", 2000, "mem-mb", 4000,
            "estimate-ms", 1500));
        fleet.await("the first run has failed", 20, () -> failures(fleet) >= 1);
        if (trouble) fleet.configure(LASTING);
        // Four attempts of 1.5 s take some 6 s; the job is watched for five times as long.
        fleet.awaited(30, () -> fleet.runsOf(JOB).size() > ATTEMPTS + 3);
        List<Run> runs = fleet.runsOf(JOB);
        if (!trouble) {
            String state = fleet.state("/proofs/", JOB);
            if (!state.equals("failed")) return "the job is shown as " + state;
        }
        for (Run run : runs) {
            long noted = runs.stream().filter(other -> "failed".equals(other.how)
                && other.notedAt < run.startedAt).count();
            if (noted >= ATTEMPTS) {
                return "run " + run.number + " of task " + run.task + " starts after " + noted
                    + " of its runs have failed and were taken note of; max-attempts was " + ATTEMPTS + ", "
                    + runs.size() + " runs in all";
            }
        }
        return null;
    }

    private static long failures(Fleet fleet) {
        return fleet.runsOf(JOB).stream().filter(run -> "failed".equals(run.how)).count();
    }
}
