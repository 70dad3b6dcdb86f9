import java.nio.file.Path;

/** Runs one case: `Case NAME REPOSITORY RECORD`. Exits with 1 if its rule was broken, 0 if not, 2 if it could not run. */
public final class Case {
    /** A case: returns what breaks the rule, or null if the rule held. */
    interface Script {
        String run(Fleet fleet, boolean trouble) throws Exception;
    }

    private Case() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[2]));
        record.event("case", arguments[0] + (trouble ? "" : " without the disruption"));
        Script script = switch (arguments[0]) {
            case "removed-queue" -> new RemovedQueue();
            case "hopeless-job" -> new HopelessJob();
            case "many-ends" -> new ManyEnds();
            case "quiet-restart" -> new QuietRestart();
            case "cancelled-elsewhere" -> new CancelledElsewhere();
            default -> throw new IllegalArgumentException(arguments[0]);
        };
        int status;
        try (Fleet fleet = new Fleet(Path.of(arguments[1]).toAbsolutePath(), record, 8)) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                for (Fleet.Node node : fleet.nodes) if (node.process != null) node.process.destroyForcibly();
            }));
            String broken = script.run(fleet, trouble);
            record.event("judge", broken == null ? "the rule held" : "broken: " + broken);
            System.out.println(broken == null ? "held" : "broken: " + broken);
            status = broken == null ? 0 : 1;
        } catch (Exception failure) {
            record.event("harness", "could not run: " + failure);
            failure.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }
}
