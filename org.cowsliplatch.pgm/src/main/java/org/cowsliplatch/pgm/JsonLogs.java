package org.cowsliplatch.pgm;

import java.util.Locale;
import java.util.logging.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Writes logs as JSON, one line for each record, to the standard error output. */
final class JsonLogs {
    private JsonLogs() {}

    /** Replaces all log handlers. */
    static void install(String level) {
        JsonFormatter formatter = new JsonFormatter();
        formatter.setPrettyPrint(false);
        ConsoleHandler handler = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter);
        handler.setLevel(Level.ALL);
        Logger root = LogContext.getLogContext().getLogger("");
        root.clearHandlers();
        root.addHandler(handler);
        root.setLevel(org.jboss.logmanager.Level.parse(level.toUpperCase(Locale.ROOT)));
        quiet("org.eclipse.jetty", level);
        quiet("io.netty", level);
        quiet("io.opentelemetry", level);
    }

    private static void quiet(String category, String level) {
        boolean debug = level.equals("debug");
        LogContext.getLogContext()
                .getLogger(category)
                .setLevel(debug ? org.jboss.logmanager.Level.INFO : org.jboss.logmanager.Level.WARN);
    }
}
