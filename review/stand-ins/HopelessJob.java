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

    @Override
    public String run(Fleet fleet, boolean trouble) throws Exception {
        fleet.configure(new Fleet.Queue("proofs", "/proofs/", ATTEMPTS), new Fleet.Queue("thumbs", "/thumbs/", ATTEMPTS));
        fleet.startNodes(3);
        fleet.submit("/proofs/", LARGE_JOB, "work=9000 saves=1" + (trouble ? " fail=1" : ""),
            Map.of("count", TASKS, "cpu", 100, "mem-mb", 50, "estimate-ms", 9000, "saves-progress", true));
        SmallJobs small = new SmallJobs(fleet, "/thumbs/");
        small.handInUntil(TRAFFIC_ENDS);
        return small.starving();
    }
}
