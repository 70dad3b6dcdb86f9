package dogwoodgrade.entry

import dogwoodgrade.commandline.parseOrExit
import dogwoodgrade.model.Outcome
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private val logger = KotlinLogging.logger {}

/** Starts an entry process with the settings file given by `--settings`. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("entry")
    val file by parser.option(ArgType.String, "settings", "s", "settings file in TOML").required()
    val checkOnly by parser.option(ArgType.Boolean, "check", description = "check the settings and exit").default(false)
    parser.parseOrExit(arguments)
    val settings =
        when (val parsed = readSettings(Path.of(file))) {
            is Outcome.Failure -> exitWith(parsed)
            is Outcome.Success -> parsed.value
        }
    if (checkOnly) {
        println("settings are valid")
        return
    }
    run(settings)
}

private fun run(settings: Settings) {
    val program = EntryProgram(settings)
    when (val started = runBlocking { program.start() }) {
        is Outcome.Failure -> exitWith(started)
        is Outcome.Success -> {
            val ports = started.value
            println("listening caller=${ports.caller} peer=${ports.peer} operator=${ports.operator}")
        }
    }
    Runtime.getRuntime().addShutdownHook(Thread { runBlocking { program.stop() } })
}

private fun readSettings(path: Path): Outcome<Settings> =
    if (Files.isReadable(path)) {
        parseSettings(Files.readString(path))
    } else {
        Outcome.Failure(dogwoodgrade.model.ResultCode.InvalidSettings, "the file $path cannot be read")
    }

private fun exitWith(failure: Outcome.Failure): Nothing {
    logger.error { "entry: ${failure.code}: ${failure.message}" }
    exitProcess(failure.code.exitStatus)
}
