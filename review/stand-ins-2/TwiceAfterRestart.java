import java.util.ArrayList;
import java.util.List;

/**
 * An idle worker restarts under its identifier, and gets tasks before its entry in the store is renewed; a connection to
 * it is reset meanwhile.
 */
final class TwiceAfterRestart extends Case {
    private static final String FIRST_JOB = "0a5d3c71be9f8426";
    private static final String JOB = "b16e90f4d75a2c38";
    private static final int TASKS = 3;
    private static final long FIRST_BEAT_MILLIS = 1400;

    public static void main(String[] arguments) {
        new TwiceAfterRestart().run(arguments[0]);
    }

    @Override
    String play() throws Exception {
        setUp(3, "r1-1", "r1-2", "r1-2", "r1-3");
        Worker worker = fleet.workers.values().iterator().next();
        sleep(2);
        Fleet.Node node = fleet.nodes.values().iterator().next();
        submit(node, FIRST_JOB, 8);
        sleep(3);
        if (fleet.runsOf(FIRST_JOB).stream().filter(run -> run.ending.equals("done")).count() != 8) {
            throw new IllegalStateException("the first job did not end");
        }
        if (worker.acknowledged == 0) throw new IllegalStateException("the ends of the first job were not acknowledged");
        // An idle worker is asked for its lists every 4 s. The restart comes right after one of these calls.
        double asked = worker.listedAt;
        double until = record.seconds() + 10;
        while (worker.listedAt == asked && record.seconds() < until) sleep(0.01);
        sleep(0.2);
        if (trouble) {
            worker.crash();
            sleep(0.3);
            worker.start(FIRST_BEAT_MILLIS);
        }
        sleep(0.2);
        submit(node, JOB, TASKS);
        if (trouble) {
            until = record.seconds() + 2;
            while (fleet.runsOf(JOB).isEmpty() && record.seconds() < until) sleep(0.005);
            sleep(0.3);
            worker.resetWaitingCalls();
        }
        sleep(10);
        fleet.request(node, "GET", "/puxa400/" + JOB, Fleet.TENANT_KEY, null);
        return startsAfterEnd();
    }

    private void submit(Fleet.Node node, String job, int count) {
        fleet.tasksOf(job, new Worker.Behavior(400, false));
        Object step = Json.of("count", count, "cpu", 3200, "mem-mb", 4000, "estimate-ms", 400, "affinity", "r1-1");
        Object body = Json.of("spec", "estimate", "steps", List.of(step));
        if (fleet.request(node, "POST", "/puxa400/" + job, Fleet.TENANT_KEY, body).status != 200) {
            throw new IllegalStateException("a job was not accepted");
        }
    }

    /** Returns the tasks that were started after a run of them had ended as done and was acknowledged. */
    private String startsAfterEnd() {
        List<String> faults = new ArrayList<>();
        List<Worker.Run> runs = fleet.runsOf(JOB);
        for (Worker.Run first : runs) {
            if (!first.ending.equals("done") || !first.acknowledged) continue;
            for (Worker.Run later : runs) {
                if (later.task.equals(first.task) && later.startedAt > first.endedAt) {
                    faults.add(later.task + " run=" + later.run + " after run=" + first.run + " was done");
                }
            }
        }
        return faults.isEmpty() ? null : faults.size() + " starts of tasks that were done: " + String.join("; ", faults);
    }
}
