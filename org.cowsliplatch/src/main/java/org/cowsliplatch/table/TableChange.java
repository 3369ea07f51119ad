package org.cowsliplatch.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cowsliplatch.errors.TablesInvalidException;

/**
 * One accepted edit: what it changed, who made it and when.
 *
 * @param version number of the version it made
 * @param editId id under which its author can ask for its outcome
 * @param author who made it
 * @param acceptedAtMs wall-clock time in ms since 1970, for people only
 * @param digest digest of the tables after it
 * @param diff changed rows
 */
public record TableChange(
        long version, String editId, String author, long acceptedAtMs, String digest, TablesDiff diff) {

    /**
     * Returns the tables after this change.
     *
     * @param base the tables of the version before
     * @throws TablesInvalidException if the change does not fit the base
     */
    public Tables applyTo(Tables base) throws TablesInvalidException {
        Map<String, Map<String, String>> routes = new TreeMap<>();
        base.routes().forEach((name, route) -> routes.put(name, RowCodec.columns(route)));
        Map<String, Map<String, String>> pools = new TreeMap<>();
        base.pools().forEach((name, pool) -> pools.put(name, RowCodec.columns(pool)));
        for (TablesDiff.RowDiff row : diff.rows()) {
            Map<String, Map<String, String>> table = row.table().equals("routes") ? routes : pools;
            if (row.after().isEmpty()) {
                table.remove(row.name());
            } else {
                table.put(row.name(), row.after());
            }
        }
        Tables tables = TableParser.parse(rawRows(routes), rawRows(pools), List.of());
        if (!tables.digest().equals(digest)) {
            throw new TablesInvalidException(List.of(new TableProblem(
                    "tables", 0, "version " + version, "", "the digest differs after the change", "read a snapshot")));
        }
        return tables;
    }

    private static List<RawRow> rawRows(Map<String, Map<String, String>> rows) {
        List<RawRow> raw = new ArrayList<>();
        for (Map<String, String> columns : rows.values()) {
            raw.add(new RawRow(raw.size() + 1, columns));
        }
        return raw;
    }
}
