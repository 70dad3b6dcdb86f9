package dogwoodgrade.node

import dogwoodgrade.platform.NodeSettings
import dogwoodgrade.platform.SETTINGS_VARIABLE
import dogwoodgrade.platform.SettingsOutcome
import dogwoodgrade.platform.readNodeSettings
import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private val logger = KotlinLogging.logger {}

/** Exit status for invalid settings; docs/result-codes.md lists the codes. */
private const val INVALID_SETTINGS_STATUS = 40

/** Exit status after an uncaught exception. */
private const val FATAL_STATUS = 70

/** Starts the program with the settings file that the first argument or the environment names. */
fun main(arguments: Array<String>) {
    if (arguments.firstOrNull() == ARCHIVE_ARGUMENT) {
        loadClassesForArchive()
        exitProcess(0)
    }
    val settings = loadSettings(arguments)
    val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
    val failures =
        CoroutineExceptionHandler { _, failure ->
            logger.error(failure) { "node: uncaught exception in a coroutine, the process exits" }
            Runtime.getRuntime().halt(FATAL_STATUS)
        }
    // All coroutines run on the event loop: a machine has about one core, and each change of thread costs system calls.
    val scope = CoroutineScope(SupervisorJob() + vertx.orCreateContext.dispatcher() + failures)
    val node = Node(settings, vertx, scope)
    runBlocking { node.start() }
    handleSignals(node)
}

private fun handleSignals(node: Node) {
    sun.misc.Signal.handle(sun.misc.Signal("HUP")) {
        logger.info { "node: settings file changed; addresses are read at the next start" }
    }
    Runtime.getRuntime().addShutdownHook(Thread { runBlocking { node.stop() } })
}

private fun loadSettings(arguments: Array<String>): NodeSettings {
    val path = arguments.firstOrNull() ?: System.getenv(SETTINGS_VARIABLE)
    if (path == null || !Files.isReadable(Path.of(path))) {
        System.err.println("node: the settings file \"$path\" cannot be read; $SETTINGS_VARIABLE has to name it")
        exitProcess(INVALID_SETTINGS_STATUS)
    }
    when (val outcome = readNodeSettings(Files.readString(Path.of(path)))) {
        is SettingsOutcome.Valid -> return outcome.settings
        is SettingsOutcome.Invalid -> {
            outcome.faults.forEach { System.err.println("node: settings: $it") }
            exitProcess(INVALID_SETTINGS_STATUS)
        }
    }
}
