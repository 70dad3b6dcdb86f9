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

/** Environment variable with the lowest level that is logged. */
private const val LEVEL_VARIABLE = "DOGWOODGRADE_LOG_LEVEL"

/** Largest number of lines that wait for the output; a busy owner writes some hundred lines per second. */
private const val LINE_QUEUE_CAPACITY = 2048

/**
 * Configures logging: one line per event on standard output, written by a separate thread.
 *
 * Lines are dropped if the output is too slow, so that the program never waits for its log. The service loader finds
 * this class; a configuration file would make the start of the program slower.
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
        bounded.queueSize = LINE_QUEUE_CAPACITY
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
