package org.cowsliplatch.table;

/**
 * Tables that were accepted, with the number under which they were.
 *
 * @param number counted from 1; 0 stands for no tables yet
 * @param tables the tables
 */
public record TableVersion(long number, Tables tables) {
    /** Version 0: nothing was accepted yet. */
    public static final TableVersion NONE = new TableVersion(0, Tables.empty());

    /** Refuses negative numbers. */
    public TableVersion {
        if (number < 0) {
            throw new IllegalArgumentException("table version " + number + " is negative");
        }
    }

    /** Returns the digest of the tables. */
    public String digest() {
        return tables.digest();
    }
}
