import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Writes what was sent, answered and run, one line an event, with the seconds since the start. */
final class Record {
    private static final int RUN_EVENTS_IN_FULL = 600;
    private final Map<String, Integer> runEvents = new HashMap<>();
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Returns the seconds since the start. */
    double time() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    /** Writes an event of a run: all of the first ones of a job, and then every hundredth. */
    synchronized void run(String job, String who, String what) {
        int count = runEvents.merge(job, 1, Integer::sum);
        if (count <= RUN_EVENTS_IN_FULL) event(who, what);
        else if (count % 100 == 0) event(who, what + " (event " + count + " of the job's runs)");
    }

    synchronized void event(String who, String what) {
        out.printf("%8.3f %s: %s%n", time(), who, what);
    }
}
