package org.cowsliplatch.errors;

/** The store has discarded changes that a follower has not read yet; the whole table must be read again. */
public final class HistoryLostException extends PlatformException {
    /**
     * Creates an exception.
     *
     * @param table name of the table
     * @param after version after which changes were requested
     */
    public HistoryLostException(String table, long after) {
        super("the store no longer keeps the changes of table " + table + " after version " + after, null);
    }
}
