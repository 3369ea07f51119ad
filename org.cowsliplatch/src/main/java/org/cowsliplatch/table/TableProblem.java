package org.cowsliplatch.table;

/**
 * One violation of a rule of the tables.
 *
 * @param table {@code routes} or {@code pools}
 * @param line line in the file, counted from 1, or the row number if there is no file
 * @param row name of the row, or empty
 * @param column name of the column, or empty if the problem concerns the whole row
 * @param what description of the problem
 * @param remedy suggested correction
 */
public record TableProblem(String table, int line, String row, String column, String what, String remedy) {
    /** Returns the problem as one line of text for operators. */
    public String text() {
        String rowPart = row.isEmpty() ? "" : " (" + row + ")";
        String columnPart = column.isEmpty() ? "" : ", column " + column;
        return table + " line " + line + rowPart + columnPart + ": " + what + "; " + remedy;
    }
}
