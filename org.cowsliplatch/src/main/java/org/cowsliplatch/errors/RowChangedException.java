package org.cowsliplatch.errors;

/** A conditional write had no effect because a row was not at the expected revision. */
public final class RowChangedException extends PlatformException {
    private final String key;
    private final long expected;
    private final long found;

    /**
     * Creates an exception.
     *
     * @param key key of the row
     * @param expected revision on which the write was conditional; 0 for an absent row
     * @param found current revision of the row; 0 for an absent row
     */
    public RowChangedException(String key, long expected, long found) {
        super("row " + key + " is at revision " + found + ", not " + expected, null);
        this.key = key;
        this.expected = expected;
        this.found = found;
    }

    /** Returns the key of the row. */
    public String key() {
        return key;
    }

    /** Returns the revision on which the write was conditional; 0 for an absent row. */
    public long expected() {
        return expected;
    }

    /** Returns the current revision of the row; 0 for an absent row. */
    public long found() {
        return found;
    }
}
