package dogwoodgrade.scenarios

import java.io.BufferedReader
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * A program of this project that runs in a separate process.
 *
 * The process uses the class path of its parent, so that programs need not be packaged first.
 *
 * @property name name of the process in error messages
 */
public class ProgramProcess internal constructor(
    public val name: String,
    private val process: Process,
    private val firstLine: CompletableFuture<String>,
) : AutoCloseable {
    /** Process identifier of the operating system. */
    public val pid: Long get() = process.pid()

    /** Whether the process is running. */
    public val isAlive: Boolean get() = process.isAlive

    /** Waits for the line that reports the ports of the program, such as `listening on 1234`, and returns it. */
    public fun awaitListening(): String = firstLine.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)

    /** Sends a signal such as `STOP`, `CONT`, `TERM` or `KILL`. */
    public fun signal(signal: String) {
        val exit = ProcessBuilder("kill", "-$signal", pid.toString()).start().waitFor()
        check(exit == 0) { "could not send signal $signal to $name" }
    }

    /** Waits until the process ends and returns its exit status. */
    public fun awaitExit(): Int {
        check(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            "$name did not end within $EXIT_TIMEOUT_SECONDS s"
        }
        return process.exitValue()
    }

    /** Kills the process and waits until it has ended. */
    override fun close() {
        process.destroyForcibly()
        process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    public companion object {
        private const val START_TIMEOUT_SECONDS = 60L
        private const val EXIT_TIMEOUT_SECONDS = 60L

        /** JVM options besides the heap size. */
        public val DEFAULT_JVM_OPTIONS: List<String> = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        /** Starts [mainClass] with the JVM options [options] and appends its standard error to [logFile]. */
        public fun start(
            name: String,
            mainClass: String,
            arguments: List<String>,
            logFile: Path,
            heapMegabytes: Int = 64,
            options: List<String> = DEFAULT_JVM_OPTIONS,
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
            firstLine.completeExceptionally(IllegalStateException("$name ended before it listened"))
        }
    }
}
