/** One run of a task, as its executor and the judge of a case see it. Times are seconds since the start of the case. */
final class Run {
    final String task;
    final long number;
    final String executor;
    final String spec;
    final double startedAt;

    /** End of the run, or NaN while it runs. */
    volatile double endedAt = Double.NaN;

    /** How it ended, or null while it runs. */
    volatile String how;

    /** When the end was first listed, or NaN. */
    volatile double listedAt = Double.NaN;

    /** When the owner took note of the end, by `ack-seq`, or NaN. */
    volatile double notedAt = Double.NaN;

    /** Number of the end in its executor's list. */
    long endNumber;

    Run(String task, long number, String executor, String spec, double startedAt) {
        this.task = task;
        this.number = number;
        this.executor = executor;
        this.spec = spec;
        this.startedAt = startedAt;
    }

    String job() {
        return task.substring(0, task.indexOf('.'));
    }

    /** Returns how long the task works, in milliseconds; it is the same for each of its runs. */
    long work() {
        long mean = value("work", 1000);
        long spread = mean * value("spread", 0) / 100;
        return mean + (spread == 0 ? 0 : Math.floorMod(task.hashCode() * 0x9E3779B97F4A7C15L >>> 16, 2 * spread) - spread);
    }

    /** Returns the value of a word NAME=VALUE of the job's text. */
    long value(String name, long missing) {
        for (String word : spec.split(" ")) {
            if (word.startsWith(name + "=")) return Long.parseLong(word.substring(name.length() + 1));
        }
        return missing;
    }
}
