package org.cowsliplatch.internal.table;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cowsliplatch.errors.TablesInvalidException;
import org.cowsliplatch.errors.TablesUnavailableException;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.table.RawRow;
import org.cowsliplatch.table.RowCodec;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableParser;
import org.cowsliplatch.table.Tables;

/** JSON encoding of tables, changes and heads. */
public final class TableCodec {
    /**
     * Tables as rows of text columns, the form of snapshots and of messages to peers.
     *
     * @param routes columns of each route, by column name
     * @param pools columns of each pool, by column name
     */
    public record Document(List<Map<String, String>> routes, List<Map<String, String>> pools) {}

    private TableCodec() {}

    /** Returns the tables as rows of text columns. */
    public static Document document(Tables tables) {
        return new Document(
                tables.routes().values().stream().map(RowCodec::columns).toList(),
                tables.pools().values().stream().map(RowCodec::columns).toList());
    }

    /**
     * Parses the tables in a document.
     *
     * @param document rows of text columns
     * @param regions known regions; empty if they can't be checked
     * @throws TablesInvalidException if any rule is broken; lists every problem
     */
    public static Tables tables(Document document, List<String> regions) throws TablesInvalidException {
        return TableParser.parse(rawRows(document.routes()), rawRows(document.pools()), regions);
    }

    /** Returns a change as JSON. */
    public static String text(TableChange change) {
        return Json.text(change);
    }

    /**
     * Parses a change.
     *
     * @throws TablesUnavailableException if the text is not a change in JSON
     */
    public static TableChange change(String text) throws TablesUnavailableException {
        return read(text, TableChange.class);
    }

    static TableHead head(String text) throws TablesUnavailableException {
        return read(text, TableHead.class);
    }

    private static <T> T read(String text, Class<T> type) throws TablesUnavailableException {
        try {
            return Json.read(text, type);
        } catch (IOException e) {
            throw new TablesUnavailableException("the stored " + type.getSimpleName() + " is not valid JSON", e);
        }
    }

    private static List<RawRow> rawRows(List<Map<String, String>> rows) {
        List<RawRow> raw = new ArrayList<>();
        for (Map<String, String> columns : rows) {
            raw.add(new RawRow(raw.size() + 1, columns));
        }
        return raw;
    }
}
