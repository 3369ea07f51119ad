package org.cowsliplatch.table;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cowsliplatch.errors.TablesInvalidException;
import org.cowsliplatch.internal.util.ClosestMatch;

/** Parses and validates rows of text columns; reports all problems at once. */
public final class TableParser {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final Pattern HOST = Pattern.compile("\\*|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?");
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m)");
    private static final Pattern WEIGHT = Pattern.compile("([a-z0-9][a-z0-9-]*)=(\\d{1,6})");
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
    private static final Duration MAX_TIMEOUT = Duration.ofMinutes(10);
    private static final Duration MAX_RAMP = Duration.ofHours(24);
    private static final int MAX_SLOTS = 10_000;
    private static final int MAX_QUEUE_LIMIT = 100_000;

    private final List<TableProblem> problems = new ArrayList<>();
    private final Set<String> regions;

    private TableParser(Collection<String> regions) {
        this.regions = Set.copyOf(regions);
    }

    /**
     * Parses both tables.
     *
     * @param routeRows rows of the route table
     * @param poolRows rows of the pool table
     * @param regions known regions; empty if they can't be checked
     * @throws TablesInvalidException if any rule is broken; lists every problem
     */
    public static Tables parse(List<RawRow> routeRows, List<RawRow> poolRows, Collection<String> regions)
            throws TablesInvalidException {
        TableParser parser = new TableParser(regions);
        Map<String, Pool> pools = parser.pools(poolRows);
        List<Route> routes = parser.routes(routeRows, poolNames(poolRows));
        if (!parser.problems.isEmpty()) {
            throw new TablesInvalidException(parser.problems);
        }
        return Tables.of(routes, pools.values());
    }

    private static Set<String> poolNames(List<RawRow> poolRows) {
        Set<String> names = new HashSet<>();
        for (RawRow row : poolRows) {
            names.add(row.text("name"));
        }
        return names;
    }

    private Map<String, Pool> pools(List<RawRow> rows) {
        Map<String, Pool> pools = new LinkedHashMap<>();
        Set<String> names = new HashSet<>();
        for (RawRow raw : rows) {
            RowParser row = new RowParser("pools", raw);
            row.checkColumns(RowCodec.POOL_COLUMNS);
            String name = row.name(names);
            String service = row.matching("service", NAME, "write lower-case letters, digits and hyphens");
            int slots = row.number("slots", 1, MAX_SLOTS);
            SortedMap<String, Integer> weights = row.weights();
            Duration ramp = row.duration("ramp", Duration.ZERO, MAX_RAMP);
            int queue = row.number("queue", 0, MAX_QUEUE_LIMIT);
            pools.put(name, new Pool(name, service, slots, weights, ramp, queue));
        }
        return pools;
    }

    private List<Route> routes(List<RawRow> rows, Set<String> poolNames) {
        List<Route> routes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Map<String, String> routesByMatch = new LinkedHashMap<>();
        for (RawRow raw : rows) {
            RowParser row = new RowParser("routes", raw);
            row.checkColumns(RowCodec.ROUTE_COLUMNS);
            String name = row.name(names);
            String host = row.matching("host", HOST, "write a lower-case host name without port, or *");
            String path = row.path();
            Set<String> methods = row.methods();
            Rank rank = row.rank();
            boolean idempotent = row.yesNo("idempotent");
            String pool = row.reference("pool", poolNames);
            Duration timeout = row.duration("timeout", Duration.ofMillis(1), MAX_TIMEOUT);
            row.checkUniqueMatch(routesByMatch, host, path, methods, name);
            if (methods.isEmpty()) {
                continue;
            }
            routes.add(new Route(name, host, path, methods, rank, idempotent, pool, timeout));
        }
        return routes;
    }

    /** Parses the columns of one row and collects the problems found. */
    private final class RowParser {
        private final String table;
        private final RawRow raw;

        RowParser(String table, RawRow raw) {
            this.table = table;
            this.raw = raw;
        }

        void checkColumns(List<String> expected) {
            for (String column : raw.columns().keySet()) {
                if (!expected.contains(column)) {
                    problem(column, "unknown column", "did you mean " + ClosestMatch.find(column, expected) + "?");
                }
            }
            for (String column : expected) {
                if (raw.text(column).isEmpty()) {
                    problem(column, "is empty", "fill in a value");
                }
            }
        }

        String name(Set<String> taken) {
            String name = matching("name", NAME, "write lower-case letters, digits and hyphens, at most 63");
            if (!name.isEmpty() && !taken.add(name)) {
                problem("name", "'" + name + "' stands twice", "give each row its own name");
            }
            return name;
        }

        String matching(String column, Pattern pattern, String remedy) {
            String text = raw.text(column);
            if (!text.isEmpty() && !pattern.matcher(text).matches()) {
                problem(column, "'" + text + "' is not allowed", remedy);
            }
            return text;
        }

        String reference(String column, Set<String> names) {
            String text = raw.text(column);
            if (!text.isEmpty() && !names.contains(text)) {
                String nearest = ClosestMatch.find(text, names);
                problem(
                        column,
                        "there is no '" + text + "'",
                        nearest == null ? "add it first" : "did you mean " + nearest + "?");
            }
            return text;
        }

        String path() {
            String text = raw.text("path");
            boolean plain = text.startsWith("/") && !text.contains("?") && !text.contains(" ") && !text.contains("..");
            if (!text.isEmpty() && !plain) {
                problem("path", "'" + text + "' is no path prefix", "write a path such as /cases");
            }
            if (text.equals("/v1") || text.startsWith("/v1/entries")) {
                problem("path", "'" + text + "' is reserved for the look-up", "choose another path");
            }
            return text;
        }

        Set<String> methods() {
            Set<String> methods = new HashSet<>();
            for (String method : raw.text("methods").split("\\s+", -1)) {
                if (METHODS.contains(method)) {
                    methods.add(method);
                } else if (!method.isEmpty()) {
                    problem(
                            "methods",
                            "unknown method '" + method + "'",
                            "did you mean " + ClosestMatch.find(method.toUpperCase(Locale.ROOT), METHODS) + "?");
                }
            }
            return methods;
        }

        Rank rank() {
            String text = raw.text("rank");
            Rank rank = Rank.of(text).orElse(null);
            if (rank != null) {
                return rank;
            }
            if (!text.isEmpty()) {
                problem("rank", "unknown rank '" + text + "'", "write urgent, lookup or upload");
            }
            return Rank.UPLOAD;
        }

        boolean yesNo(String column) {
            String text = raw.text(column);
            if (!text.isEmpty() && !text.equals("yes") && !text.equals("no")) {
                problem(column, "'" + text + "' is neither yes nor no", "write yes or no");
            }
            return text.equals("yes");
        }

        int number(String column, int min, int max) {
            String text = raw.text(column);
            if (text.isEmpty()) {
                return min;
            }
            try {
                int value = Integer.parseInt(text);
                if (value < min || value > max) {
                    int nearest = Math.max(min, Math.min(max, value));
                    problem(column, text + " is out of range", "the nearest allowed value is " + nearest);
                }
                return value;
            } catch (NumberFormatException e) {
                problem(column, "'" + text + "' is no whole number", "write a number of " + min + " to " + max);
                return min;
            }
        }

        Duration duration(String column, Duration min, Duration max) {
            String text = raw.text(column);
            Matcher matcher = DURATION.matcher(text);
            if (!matcher.matches()) {
                if (!text.isEmpty()) {
                    problem(column, "'" + text + "' is no duration", "write a number and a unit: 250ms, 5s, 2m");
                }
                return min;
            }
            long amount = Long.parseLong(matcher.group(1));
            Duration value =
                    switch (matcher.group(2)) {
                        case "ms" -> Duration.ofMillis(amount);
                        case "s" -> Duration.ofSeconds(amount);
                        default -> Duration.ofMinutes(amount);
                    };
            if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
                Duration nearest = value.compareTo(min) < 0 ? min : max;
                problem(column, text + " is out of range", "the nearest allowed value is " + RowCodec.text(nearest));
            }
            return value;
        }

        SortedMap<String, Integer> weights() {
            SortedMap<String, Integer> weights = new TreeMap<>();
            int total = 0;
            for (String part : raw.text("regions").split("\\s+", -1)) {
                if (part.isEmpty()) {
                    continue;
                }
                Matcher matcher = WEIGHT.matcher(part);
                if (!matcher.matches()) {
                    problem("regions", "'" + part + "' is no weight", "write region=number, such as svealand=50");
                    continue;
                }
                String region = matcher.group(1);
                if (!regions.isEmpty() && !regions.contains(region)) {
                    problem(
                            "regions",
                            "there is no region '" + region + "'",
                            "did you mean " + ClosestMatch.find(region, regions) + "?");
                }
                if (weights.put(region, Integer.parseInt(matcher.group(2))) != null) {
                    problem("regions", "region '" + region + "' stands twice", "give each region one weight");
                }
                total += Integer.parseInt(matcher.group(2));
            }
            if (total == 0 && !weights.isEmpty()) {
                problem("regions", "all weights are 0", "give at least one region a weight above 0");
            }
            return weights;
        }

        void checkUniqueMatch(
                Map<String, String> routesByMatch, String host, String path, Set<String> methods, String name) {
            for (String method : methods) {
                String other = routesByMatch.putIfAbsent(host + " " + path + " " + method, name);
                if (other != null) {
                    problem(
                            "path",
                            "route '" + other + "' has the same host, path and " + method,
                            "change one of them");
                    return;
                }
            }
        }

        private void problem(String column, String what, String remedy) {
            problems.add(new TableProblem(table, raw.line(), raw.text("name"), column, what, remedy));
        }
    }
}
