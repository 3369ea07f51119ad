package org.cowsliplatch.table;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One row of a table as text, before validation.
 *
 * @param line line in the file, counted from 1, or the row number if there is no file
 * @param columns text by column name
 */
public record RawRow(int line, Map<String, String> columns) {
    /** Copies the columns and keeps their order. */
    public RawRow {
        columns = Collections.unmodifiableMap(new LinkedHashMap<>(columns));
    }

    /** Returns the trimmed text of a column, or an empty string if the column is missing. */
    public String text(String column) {
        return columns.getOrDefault(column, "").trim();
    }
}
