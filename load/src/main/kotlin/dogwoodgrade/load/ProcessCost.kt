package dogwoodgrade.load

import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Unit of processor time in `/proc`, which is 10 ms on every Linux platform that this project runs on. */
private const val TICK_MILLISECONDS = 10L

/** Index of `utime` after the closing parenthesis of the command in `/proc/PID/stat`; `stime` follows. */
private const val USER_TIME_INDEX = 11

/** Processor time and memory of a process, read from `/proc`. */
internal object ProcessCost {
    /** Returns user and system time of process [pid] since its start. */
    fun processorTime(pid: Long): Duration {
        val fields = Files.readString(Path.of("/proc/$pid/stat")).substringAfterLast(") ").split(' ')
        return ((fields[USER_TIME_INDEX].toLong() + fields[USER_TIME_INDEX + 1].toLong()) * TICK_MILLISECONDS)
            .milliseconds
    }

    /** Returns the resident memory of process [pid] in MB (2^20 bytes). */
    fun residentMegabytes(pid: Long): Double =
        Files
            .readAllLines(Path.of("/proc/$pid/status"))
            .first { it.startsWith("VmRSS:") }
            .filter { it.isDigit() }
            .toLong() / 1024.0

    /** Returns the bytes that all processes have sent on the loopback interface, including TCP and IP headers. */
    fun loopbackBytes(): Long =
        Files
            .readAllLines(Path.of("/proc/net/dev"))
            .first { it.trim().startsWith("lo:") }
            .substringAfter(':')
            .trim()
            .split(Regex("\\s+"))[8]
            .toLong()

    /** Returns the load averages of the machine, which are printed with every result. */
    fun loadAverage(): String = Files
        .readString(Path.of("/proc/loadavg"))
        .split(' ')
        .take(3)
        .joinToString("/")
}
