package org.cowsliplatch.pgm;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Level;
import org.cowsliplatch.internal.util.Json;
import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.PatternFormatter;

/** Writes logs as JSON, one line for each record. */
final class JsonLogs {
    private static final PatternFormatter MESSAGE = new PatternFormatter("%s");

    private JsonLogs() {}

    /**
     * Replaces all log handlers.
     *
     * @param level least level that is logged
     * @param lines takes lines without their end; must not block
     */
    static void install(String level, Consumer<String> lines) {
        ExtHandler handler = new ExtHandler() {
            @Override
            protected void doPublish(ExtLogRecord logged) {
                lines.accept(Json.text(fields(logged)));
            }
        };
        handler.setLevel(Level.ALL);
        Logger root = LogContext.getLogContext().getLogger("");
        root.clearHandlers();
        root.addHandler(handler);
        root.setLevel(org.jboss.logmanager.Level.parse(level.toUpperCase(Locale.ROOT)));
        quiet("org.eclipse.jetty", level);
        quiet("io.netty", level);
        quiet("io.opentelemetry", level);
    }

    private static Map<String, Object> fields(ExtLogRecord logged) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("time", logged.getInstant().toString());
        fields.put("level", logged.getLevel().getName());
        fields.put("event", "log");
        fields.put("logger", String.valueOf(logged.getLoggerName()));
        fields.put("message", MESSAGE.format(logged));
        Throwable thrown = logged.getThrown();
        if (thrown != null) {
            StringWriter trace = new StringWriter();
            thrown.printStackTrace(new PrintWriter(trace));
            fields.put("trace", trace.toString());
        }
        return fields;
    }

    private static void quiet(String category, String level) {
        boolean debug = level.equals("debug");
        LogContext.getLogContext()
                .getLogger(category)
                .setLevel(debug ? org.jboss.logmanager.Level.INFO : org.jboss.logmanager.Level.WARN);
    }
}
