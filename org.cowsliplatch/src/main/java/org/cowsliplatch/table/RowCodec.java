package org.cowsliplatch.table;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Turns routes and pools into named text columns; {@link TableParser} reads them back. */
public final class RowCodec {
    /** Columns of the route table, in file order. */
    public static final List<String> ROUTE_COLUMNS =
            List.of("name", "host", "path", "methods", "rank", "idempotent", "pool", "timeout");

    /** Columns of the pool table, in file order. */
    public static final List<String> POOL_COLUMNS = List.of("name", "service", "slots", "regions", "ramp", "queue");

    private RowCodec() {}

    /** Returns the columns of a route, in file order; options that no file can hold follow if they are unusual. */
    public static Map<String, String> columns(Route route) {
        Map<String, String> columns = new LinkedHashMap<>();
        columns.put("name", route.name());
        columns.put("host", route.host());
        columns.put("path", route.pathPrefix());
        columns.put("methods", String.join(" ", route.methods()));
        columns.put("rank", route.rank().text());
        columns.put("idempotent", route.idempotent() ? "yes" : "no");
        columns.put("pool", route.pool());
        columns.put("timeout", text(route.timeout()));
        if (!route.options().equals(RouteOptions.defaults(route.pool(), route.timeout()))) {
            columns.put("options", route.options().toString());
        }
        return columns;
    }

    /** Returns the columns of a pool, in file order. */
    public static Map<String, String> columns(Pool pool) {
        Map<String, String> columns = new LinkedHashMap<>();
        columns.put("name", pool.name());
        columns.put("service", pool.service());
        columns.put("slots", Integer.toString(pool.slots()));
        columns.put("regions", weights(pool));
        columns.put("ramp", text(pool.ramp()));
        columns.put("queue", Integer.toString(pool.queueLimit()));
        if (pool.coldPerSecond() > 0) {
            columns.put("cold", Double.toString(pool.coldPerSecond()));
        }
        return columns;
    }

    /** Returns a duration the way tables write it, such as {@code 250ms} or {@code 5s}. */
    public static String text(Duration duration) {
        long millis = duration.toMillis();
        return millis % 1000 == 0 ? millis / 1000 + "s" : String.format(Locale.ROOT, "%dms", millis);
    }

    private static String weights(Pool pool) {
        return pool.regionWeights().entrySet().stream()
                .map(e -> e.getKey() + "=" + e.getValue())
                .collect(Collectors.joining(" "));
    }
}
