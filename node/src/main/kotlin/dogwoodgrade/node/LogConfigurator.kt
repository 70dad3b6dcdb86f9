package dogwoodgrade.node

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase

/** Variable that sets the lowest level that is logged. */
private const val LEVEL_VARIABLE = "DOGWOODGRADE_LOG_LEVEL"

/** Lines that may wait for the output; a busy second of the owner writes some hundred. */
private const val WAITING_LINES = 2048

/**
 * Configures the log: one line per event on standard output, written by a thread of its own.
 *
 * Lines are dropped rather than letting the program wait for its log. The service loader finds this class; reading a
 * configuration file instead lengthens the program's start.
 */
public class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        val layout = PatternLayoutEncoder()
        layout.context = context
        layout.pattern = "%d{HH:mm:ss.SSS} %level %msg%n%ex"
        layout.start()
        val output = ConsoleAppender<ILoggingEvent>()
        output.context = context
        output.encoder = layout
        output.start()
        val bounded = AsyncAppender()
        bounded.context = context
        bounded.queueSize = WAITING_LINES
        bounded.isNeverBlock = true
        bounded.addAppender(output)
        bounded.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
        root.addAppender(bounded)
        listOf("io.netty", "io.vertx").forEach { context.getLogger(it).level = Level.WARN }
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }
}
