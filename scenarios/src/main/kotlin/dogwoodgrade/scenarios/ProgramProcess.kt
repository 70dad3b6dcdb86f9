package dogwoodgrade.scenarios

import java.io.BufferedReader
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * A running program of this project in a process of its own.
 *
 * The class path of the calling process is used, so programs need not be packaged first.
 *
 * @property name name for messages
 */
public class ProgramProcess internal constructor(
    public val name: String,
    private val process: Process,
    private val firstLine: CompletableFuture<String>,
) : AutoCloseable {
    /** Process identifier. */
    public val pid: Long get() = process.pid()

    /** Whether the process runs. */
    public val isAlive: Boolean get() = process.isAlive

    /** Returns the line with which the program reports its ports, such as `listening on 1234`. */
    public fun awaitListening(): String = firstLine.get(START_SECONDS, TimeUnit.SECONDS)

    /** Sends a signal such as `STOP`, `CONT`, `TERM` or `KILL`. */
    public fun signal(signal: String) {
        val exit = ProcessBuilder("kill", "-$signal", pid.toString()).start().waitFor()
        check(exit == 0) { "signal $signal could not be sent to $name" }
    }

    /** Waits for the end of the process and returns its exit status. */
    public fun awaitExit(): Int {
        check(process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) { "$name did not end" }
        return process.exitValue()
    }

    /** Ends the process at once. */
    override fun close() {
        process.destroyForcibly()
        process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)
    }

    public companion object {
        private const val START_SECONDS = 60L
        private const val EXIT_SECONDS = 60L

        /** Options of the virtual machine besides the heap. */
        public val DefaultOptions: List<String> = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        /** Starts [mainClass]; its log goes to [logFile]; [options] are for the virtual machine. */
        public fun start(
            name: String,
            mainClass: String,
            arguments: List<String>,
            logFile: Path,
            heapMegabytes: Int = 64,
            options: List<String> = DefaultOptions,
        ): ProgramProcess {
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val command =
                listOf(java, "-Xmx${heapMegabytes}m") + options +
                    listOf("-cp", System.getProperty("java.class.path"), mainClass) + arguments
            val process =
                ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                    .start()
            val firstLine = CompletableFuture<String>()
            Thread { readOutput(name, process.inputReader(), firstLine) }.apply { isDaemon = true }.start()
            return ProgramProcess(name, process, firstLine)
        }

        private fun readOutput(name: String, output: BufferedReader, firstLine: CompletableFuture<String>) {
            output.useLines { lines ->
                for (line in lines) if (line.startsWith("listening")) firstLine.complete(line)
            }
            firstLine.completeExceptionally(IllegalStateException("$name ended before it was listening"))
        }
    }
}
