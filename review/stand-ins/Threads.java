/** Threads that do not keep the process alive. */
final class Threads {
    private Threads() {}

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }
}
