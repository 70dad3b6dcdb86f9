package dogwoodgrade.scenarios

import dogwoodgrade.commandline.parseOrExit
import kotlinx.cli.ArgParser
import java.nio.file.Files
import kotlin.system.exitProcess

/** Runs the demonstration; the exit status is 1 if an outcome is not as expected. */
public fun main(arguments: Array<String>) {
    ArgParser("demo").parseOrExit(arguments)
    val folder = Files.createTempDirectory("dogwoodgrade-demo")
    val log = OutcomeLog(::println)
    val demonstration = Demonstration(folder, ::println)
    // Processes are ended also after an interrupt.
    Runtime.getRuntime().addShutdownHook(Thread(demonstration::close))
    runCatching {
        demonstration.start()
        log.report(true, "four entries, four endpoints, a log service and a live list run; logs are in $folder")
        DemonstrationSteps.forEach { it(demonstration, log) }
    }.onFailure { log.report(false, "the demonstration broke off: $it") }
    demonstration.close()
    println(if (log.failures == 0) "every outcome is as expected" else "${log.failures} outcomes are not as expected")
    exitProcess(if (log.failures == 0) 0 else 1)
}
