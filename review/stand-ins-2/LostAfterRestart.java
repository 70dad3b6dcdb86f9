import java.util.ArrayList;
import java.util.List;

/** A worker restarts under its identifier, gets tasks that last, and is lost for good some seconds later. */
final class LostAfterRestart extends Case {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final double LAST_RUN_SECONDS = 6;
    private static final double STANDSTILL_SECONDS = 3;

    public static void main(String[] arguments) {
        new LostAfterRestart().run(arguments[0]);
    }

    @Override
    String play() throws Exception {
        setUp(3, "r1-1", "r1-2", "r1-2", "r1-2");
        Worker worker = fleet.workers.values().iterator().next();
        sleep(3);
        if (trouble) {
            worker.crash();
            sleep(0.5);
            worker.start();
        }
        sleep(1.5);
        fleet.tasksOf(JOB, new Worker.Behavior(900, true));
        Fleet.Node node = fleet.nodes.values().iterator().next();
        Object step = Json.of("count", 2, "cpu", 5400, "mem-mb", 8700, "estimate-ms", 900, "affinity", "r1-1",
                "long-running", true);
        Fleet.Answer answer =
                fleet.request(node, "POST", "/tije37/" + JOB, null, Json.of("spec", "archive", "steps", List.of(step)));
        if (answer.status != 200) throw new IllegalStateException("the job was not accepted");
        sleep(2);
        List<Worker.Run> before = fleet.runsOf(JOB);
        if (before.stream().filter(run -> run.worker.equals(worker.identifier) && run.ending.isEmpty()).count() != 2) {
            throw new IllegalStateException("the tasks do not run where their data is");
        }
        if (trouble) worker.crash();
        sleep(25);
        fleet.request(node, "GET", "/tije37/" + JOB, null, null);
        return standstill();
    }

    /** Returns the task that had no run for longer than the rule allows, or {@code null}. */
    private String standstill() {
        List<String> faults = new ArrayList<>();
        for (int index = 0; index < 2; index++) {
            String task = JOB + ".0.0." + index;
            double coveredUntil = 0;
            for (Worker.Run run : fleet.runsOf(JOB)) {
                if (!run.task.equals(task)) continue;
                if (coveredUntil > 0) note(task, run.startedAt - coveredUntil, faults);
                coveredUntil = Math.max(coveredUntil, run.endedAt);
            }
            if (coveredUntil < Double.MAX_VALUE) note(task, record.seconds() - coveredUntil, faults);
        }
        return faults.isEmpty() ? null : String.join("; ", faults);
    }

    private void note(String task, double seconds, List<String> faults) {
        String text = String.format("task %s had no run for %.1f s", task, seconds);
        record.line(text);
        if (seconds > LAST_RUN_SECONDS + STANDSTILL_SECONDS) faults.add(text);
    }
}
