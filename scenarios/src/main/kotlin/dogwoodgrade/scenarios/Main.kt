package dogwoodgrade.scenarios

import dogwoodgrade.commandline.parseOrExit
import kotlinx.cli.ArgParser
import java.nio.file.Files
import kotlin.system.exitProcess

/** Runs the demonstration. The exit status is 1 if any outcome is not as expected, otherwise 0. */
public fun main(arguments: Array<String>) {
    ArgParser("demo").parseOrExit(arguments)
    val folder = Files.createTempDirectory("dogwoodgrade-demo")
    val log = OutcomeLog(::println)
    val demonstration = Demonstration(folder, ::println)
    // Ends the processes also when the demonstration is interrupted.
    Runtime.getRuntime().addShutdownHook(Thread(demonstration::close))
    runCatching {
        demonstration.start()
        log.report(true, "four entries, four endpoints, a log service and a live list run; logs are in $folder")
        demonstrationSteps.forEach { it(demonstration, log) }
    }.onFailure { log.report(false, "the demonstration failed: $it") }
    demonstration.close()
    println(if (log.failures == 0) "every outcome is as expected" else "${log.failures} outcomes are not as expected")
    exitProcess(if (log.failures == 0) 0 else 1)
}
