package org.cowsliplatch.table;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Encodes routes and pools as text columns by name; {@link TableParser} decodes them. */
public final class RowCodec {
    /** Columns of the route table, in file order. */
    public static final List<String> ROUTE_COLUMNS =
            List.of("name", "host", "path", "methods", "rank", "idempotent", "pool", "timeout");

    /** Columns of the pool table, in file order. */
    public static final List<String> POOL_COLUMNS = List.of("name", "service", "slots", "regions", "ramp", "queue");

    private RowCodec() {}

    /** Returns the columns of a route in file order, then its options, which files can't hold, if they are not the defaults. */
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

    /** Returns the columns of a pool in file order, then its cold rate, which files can't hold, if it is known. */
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

    /** Returns a duration as tables hold it, such as {@code 250ms} or {@code 5s}. */
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
