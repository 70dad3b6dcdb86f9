import java.util.List;

/** A client whose key was taken away calls its former tenant's job through a public queue. */
final class RevokedCaller extends Case {
    private static final String JOB = "93f0d7be1c52a468";
    private static final String PATH = "/puxa400/" + JOB;
    private static final String PUBLIC_PATH = "/tije37/" + JOB;

    public static void main(String[] arguments) {
        new RevokedCaller().run(arguments[0]);
    }

    @Override
    String play() throws Exception {
        setUp(3, "r1-1", "r1-2", "r1-3");
        sleep(3);
        List<Fleet.Node> nodes = List.copyOf(fleet.nodes.values());
        fleet.tasksOf(JOB, new Worker.Behavior(60_000, false));
        Object step = Json.of("count", 3, "cpu", 6900, "mem-mb", 9900, "estimate-ms", 60_000);
        Object job = Json.of("spec", "bid", "steps", List.of(step));
        if (fleet.request(nodes.get(0), "POST", PATH, Fleet.TENANT_KEY, job).status != 200) {
            throw new IllegalStateException("the job was not accepted");
        }
        sleep(2);
        if (trouble) fleet.publishConfiguration(9, Fleet.NEW_TENANT_KEY);
        String validKey = trouble ? Fleet.NEW_TENANT_KEY : Fleet.TENANT_KEY;
        // The machines have to follow the configuration within 2 s.
        sleep(4);
        boolean cancelledByTenant = fleet.request(nodes.get(0), "DELETE", PATH, Fleet.TENANT_KEY, null).status == 200;
        if (cancelledByTenant == trouble) throw new IllegalStateException("the key was not taken away as expected");
        fleet.request(nodes.get(1), "GET", PUBLIC_PATH, null, null);
        fleet.request(nodes.get(1), "DELETE", PUBLIC_PATH, null, null);
        sleep(2);
        Fleet.Answer state = fleet.request(nodes.get(2), "GET", PATH, validKey, null);
        long stopped = fleet.runsOf(JOB).stream().filter(run -> run.ending.equals("stopped")).count();
        record.line("runs that were stopped: " + stopped);
        if (cancelledByTenant || !state.body.contains("cancelled")) return null;
        return "the job is shown as cancelled, and " + stopped + " of its runs were stopped, without a call of its tenant";
    }
}
