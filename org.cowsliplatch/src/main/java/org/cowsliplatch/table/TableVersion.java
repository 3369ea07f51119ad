package org.cowsliplatch.table;

/**
 * Accepted tables and their version number.
 *
 * @param number version number, counted from 1; 0 before any tables were accepted
 * @param tables tables of this version
 */
public record TableVersion(long number, Tables tables) {
    /** Version 0: no tables have been accepted yet. */
    public static final TableVersion NONE = new TableVersion(0, Tables.empty());

    /** Rejects negative numbers. */
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
