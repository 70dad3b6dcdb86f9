import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the seconds since the start of the case. */
final class Record {
    private final PrintWriter file;
    private final long startedAt = System.nanoTime();

    Record(Path path) {
        try {
            file = new PrintWriter(Files.newBufferedWriter(path));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void line(String text) {
        file.println(String.format("%8.3f %s", seconds(), text));
        file.flush();
    }
}
