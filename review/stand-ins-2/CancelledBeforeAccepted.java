/**
 * A client leaves a node that is cut off from the store before it has an answer, and cancels its job at another node.
 */
final class CancelledBeforeAccepted extends Case {
    private static final String JOB = "7d21c05be9a4f613";
    private static final String PATH = "/puxa400/" + JOB;
    private static final double CANCEL_SECONDS = 3;
    private static final int PATIENCE_MILLIS = 300;
    private static final double CUT_SECONDS = 5.5;

    public static void main(String[] arguments) {
        new CancelledBeforeAccepted().run(arguments[0]);
    }

    @Override
    String play() throws Exception {
        setUp(3, "r1-1", "r1-2", "r1-3");
        sleep(3);
        String owner = fleet.owner();
        Fleet.Node first = null;
        Fleet.Node second = null;
        for (Fleet.Node node : fleet.nodes.values()) {
            if (node.name.equals(owner)) continue;
            if (first == null) first = node;
            else second = node;
        }
        fleet.tasksOf(JOB, new Worker.Behavior(2000, false));
        double cutAt = record.seconds();
        if (trouble) {
            record.line(first.name + " is cut off from the store");
            first.link.cut(true);
        }
        sleep(0.1);
        Object step = Json.of("count", 3, "cpu", 3200, "mem-mb", 4000, "estimate-ms", 2000);
        Object job = Json.of("spec", "estimate", "steps", java.util.List.of(step));
        fleet.request(first, "POST", PATH, Fleet.TENANT_KEY, job, PATIENCE_MILLIS);
        Fleet.Answer cancelled = fleet.request(second, "DELETE", PATH, Fleet.TENANT_KEY, null);
        double cancelledAt = record.seconds();
        if (cancelled.status != 200 && cancelled.status != 410) {
            throw new IllegalStateException("the cancellation was not acknowledged");
        }
        sleep(Math.max(0, cutAt + CUT_SECONDS - record.seconds()));
        if (trouble) {
            record.line(first.name + " reaches the store again");
            first.link.cut(false);
        }
        sleep(9);
        fleet.request(second, "GET", PATH, Fleet.TENANT_KEY, null);
        long late = fleet.runsOf(JOB).stream().filter(run -> run.startedAt > cancelledAt + CANCEL_SECONDS).count();
        return late == 0 ? null : late + " tasks started later than 3 s after the answer to the cancellation";
    }
}
