package org.cowsliplatch.table;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One row before its columns are checked.
 *
 * @param line line in the file, counted from 1, or the row number where there is no file
 * @param columns text by column name
 */
public record RawRow(int line, Map<String, String> columns) {
    /** Copies the columns and keeps their order. */
    public RawRow {
        columns = Collections.unmodifiableMap(new LinkedHashMap<>(columns));
    }

    /** Returns the text of a column without surrounding blanks, or empty. */
    public String text(String column) {
        return columns.getOrDefault(column, "").trim();
    }
}
