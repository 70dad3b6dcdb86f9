import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, one line an event, with the seconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Returns the seconds since the start. */
    double time() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void event(String who, String what) {
        out.printf("%8.3f %s: %s%n", time(), who, what);
    }
}
