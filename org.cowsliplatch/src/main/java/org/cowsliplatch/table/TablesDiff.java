package org.cowsliplatch.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Differences between two versions of the tables, row by row.
 *
 * @param rows changed rows, routes first, by name
 */
public record TablesDiff(List<RowDiff> rows) {
    /**
     * One added, removed or changed row.
     *
     * @param table {@code routes} or {@code pools}
     * @param name name of the row
     * @param before columns before, empty if the row was added
     * @param after columns after, empty if the row was removed
     */
    public record RowDiff(String table, String name, Map<String, String> before, Map<String, String> after) {
        /** Returns the change as one line of text for operators. */
        public String text() {
            String rowName = table + "/" + name;
            if (before.isEmpty()) {
                return "+ " + rowName + " " + after;
            }
            if (after.isEmpty()) {
                return "- " + rowName;
            }
            return "~ " + rowName + " "
                    + after.entrySet().stream()
                            .filter(e -> !e.getValue().equals(before.get(e.getKey())))
                            .map(e -> e.getKey() + ": " + before.get(e.getKey()) + " -> " + e.getValue())
                            .collect(Collectors.joining(", "));
        }
    }

    /** Copies the rows. */
    public TablesDiff {
        rows = List.copyOf(rows);
    }

    /** Returns the changes from one version of the tables to another. */
    public static TablesDiff between(Tables before, Tables after) {
        List<RowDiff> rows = new ArrayList<>();
        collect(rows, "routes", routeColumns(before), routeColumns(after));
        collect(rows, "pools", poolColumns(before), poolColumns(after));
        return new TablesDiff(rows);
    }

    /** Returns whether there are no differences. */
    public boolean isEmpty() {
        return rows.isEmpty();
    }

    /** Returns the differences as text, one line for each row. */
    public String text() {
        return rows.stream().map(RowDiff::text).collect(Collectors.joining("\n"));
    }

    private static void collect(
            List<RowDiff> rows,
            String table,
            SortedMap<String, Map<String, String>> before,
            SortedMap<String, Map<String, String>> after) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            Map<String, String> oldRow = before.getOrDefault(name, Map.of());
            Map<String, String> newRow = after.getOrDefault(name, Map.of());
            if (!oldRow.equals(newRow)) {
                rows.add(new RowDiff(table, name, oldRow, newRow));
            }
        }
    }

    private static SortedMap<String, Map<String, String>> routeColumns(Tables tables) {
        SortedMap<String, Map<String, String>> rows = new TreeMap<>();
        tables.routes().forEach((name, route) -> rows.put(name, RowCodec.columns(route)));
        return rows;
    }

    private static SortedMap<String, Map<String, String>> poolColumns(Tables tables) {
        SortedMap<String, Map<String, String>> rows = new TreeMap<>();
        tables.pools().forEach((name, pool) -> rows.put(name, RowCodec.columns(pool)));
        return rows;
    }
}
