package org.cowsliplatch.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cowsliplatch.errors.TablesInvalidException;

/**
 * One accepted edit: the changed rows, its author and its time.
 *
 * @param version number of the version that it created
 * @param editId id of the edit, by which its outcome can be looked up
 * @param author author of the edit
 * @param acceptedAtMs wall-clock time of acceptance in ms since 1970, only for display
 * @param digest digest of the tables after the edit
 * @param diff changed rows
 */
public record TableChange(
        long version, String editId, String author, long acceptedAtMs, String digest, TablesDiff diff) {

    /**
     * Applies this change.
     *
     * @param base tables of the previous version
     * @return tables of the version that this change created
     * @throws TablesInvalidException if the changed tables break a rule or do not have the digest of this change
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
                    "tables",
                    0,
                    "version " + version,
                    "",
                    "the digest after the change does not match",
                    "read a snapshot")));
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
