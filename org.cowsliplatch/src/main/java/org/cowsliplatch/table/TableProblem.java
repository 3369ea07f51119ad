package org.cowsliplatch.table;

/**
 * One broken rule in the tables.
 *
 * @param table {@code routes} or {@code pools}
 * @param line line in the file, counted from 1, or the row number where there is no file
 * @param row name of the row, or empty
 * @param column name of the column, or empty where the whole row is meant
 * @param what what is wrong
 * @param remedy what to write instead
 */
public record TableProblem(String table, int line, String row, String column, String what, String remedy) {
    /** Returns the problem as one line for a person. */
    public String text() {
        String rowPart = row.isEmpty() ? "" : " (" + row + ")";
        String columnPart = column.isEmpty() ? "" : ", column " + column;
        return table + " line " + line + rowPart + columnPart + ": " + what + "; " + remedy;
    }
}
