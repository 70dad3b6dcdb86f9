import java.nio.file.Path;

/** Runs a case. It ends with status 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Case {
    private static final long LIMIT_MILLIS = 112_000;

    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    Fleet fleet;

    /** Plays the case. Returns what broke the rule, or {@code null} if it held. */
    abstract String play() throws Exception;

    final void run(String folder) {
        int status = 2;
        try {
            record = new Record(Path.of(folder, "record.txt"));
            record.line("disruption: " + (trouble ? "yes" : "no"));
            fleet = new Fleet(record);
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
            Fleet.thread("time limit", this::endLate);
            String fault = play();
            record.line(fault == null ? "the rule held" : "BROKEN: " + fault);
            System.out.println(fault == null ? "the rule held" : "broken: " + fault);
            status = fault == null ? 0 : 1;
        } catch (Throwable failure) {
            failure.printStackTrace();
            if (record != null) record.line("the case could not run: " + failure);
        }
        System.exit(status);
    }

    private void endLate() {
        try {
            Thread.sleep(LIMIT_MILLIS);
        } catch (InterruptedException failure) {
            return;
        }
        record.line("the case could not run: it took too long");
        System.exit(2);
    }

    final void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1000));
    }

    final void setUp(int nodes, String... racks) throws Exception {
        fleet.publishConfiguration(7, Fleet.TENANT_KEY);
        fleet.addWorkers(racks);
        fleet.addNodes(nodes);
        if (!fleet.awaitReady(30)) throw new IllegalStateException("the nodes did not become ready");
    }
}
