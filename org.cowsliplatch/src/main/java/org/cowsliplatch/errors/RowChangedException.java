package org.cowsliplatch.errors;

/** A conditional write had no effect because a row was not at the expected revision. */
public final class RowChangedException extends PlatformException {
    private final String key;
    private final long expected;
    private final long found;

    /**
     * Creates an exception.
     *
     * @param key key of the row that differed
     * @param expected the revision the writer expected
     * @param found the revision that was found
     */
    public RowChangedException(String key, long expected, long found) {
        super("row " + key + " is at revision " + found + ", not " + expected, null);
        this.key = key;
        this.expected = expected;
        this.found = found;
    }

    /** Returns the key of the row that differed. */
    public String key() {
        return key;
    }

    /** Returns the revision the writer expected; 0 for an absent row. */
    public long expected() {
        return expected;
    }

    /** Returns the revision that was found; 0 for an absent row. */
    public long found() {
        return found;
    }
}
