import java.util.List;
import java.util.Map;

/** The machine service carries out an order late; the node that gave it was stopped, and another one gives orders. */
final class UpkeepAfterTakeover extends Case {
    private static final String JOB = "41be9a7c5d02f683";
    private static final int CAP = 1;
    private static final double LATE_SECONDS = 4;
    private static final double WAVE_SECONDS = 20;

    public static void main(String[] arguments) {
        new UpkeepAfterTakeover().run(arguments[0]);
    }

    @Override
    String play() throws Exception {
        setUp(3, "r1-1", "r1-2", "r1-2", "r1-2");
        sleep(3);
        Fleet.Node owner = fleet.nodes.get(fleet.owner());
        Fleet.Node other = fleet.nodes.values().stream().filter(node -> node != owner).findFirst().orElseThrow();
        fleet.tasksOf(JOB, new Worker.Behavior(3000, false));
        Object step = Json.of("count", 3, "cpu", 6900, "mem-mb", 9900, "estimate-ms", 600, "affinity", "r1-2",
                "anti-affinity", 1);
        Map<String, Object> job = Json.of("spec", "bid", "steps", List.of(step));
        if (fleet.request(other, "POST", "/puxa400/" + JOB, Fleet.TENANT_KEY, job).status != 200) {
            throw new IllegalStateException("the job was not accepted");
        }
        double until = record.seconds() + 3;
        while (fleet.runsOf(JOB).size() != 3) {
            if (record.seconds() > until) throw new IllegalStateException("the job does not run");
            sleep(0.01);
        }
        if (trouble) fleet.machines.delayNextUpkeep("m-1", LATE_SECONDS);
        fleet.requestWave(1, (int) WAVE_SECONDS, CAP, List.of("m-2", "m-3", "m-4", "m-1"));
        double askedAt = record.seconds();
        if (trouble) {
            while (!fleet.machines.lateOrderArrived()) {
                if (record.seconds() > askedAt + 3) throw new IllegalStateException("no order for m-1 came first");
                sleep(0.01);
            }
            fleet.tasksOf(JOB, new Worker.Behavior(0, false));
            sleep(0.5);
            record.line("SIGTERM to " + owner.name);
            owner.process.destroy();
        }
        sleep(WAVE_SECONDS);
        record.line("status of the wave: " + fleet.store.get("keyed.status", "wave/1"));
        for (Map.Entry<String, Integer> beginning : fleet.machines.beginnings) {
            if (beginning.getValue() >= CAP) {
                return "the upkeep of " + beginning.getKey() + " began while " + beginning.getValue()
                        + " machine was down for its own, with cap " + CAP;
            }
        }
        if (fleet.machines.beginnings.size() < 4) throw new IllegalStateException("the wave did not come to its end");
        return null;
    }
}
