package org.cowsliplatch.errors;

import org.cowsliplatch.table.TablesDiff;

/** An edit was rejected because another one was accepted after its base version; nothing was changed. */
public final class TableConflictException extends TableException {
    private final long base;
    private final long head;
    private final transient TablesDiff theirs;
    private final transient TablesDiff yours;

    /**
     * Creates an exception.
     *
     * @param base version on which the rejected edit is based
     * @param head version that is accepted now
     * @param theirs changes from base to head
     * @param yours changes from base to the tables of the rejected edit
     */
    public TableConflictException(long base, long head, TablesDiff theirs, TablesDiff yours) {
        super("the tables are at version " + head + ", the edit is based on version " + base, null);
        this.base = base;
        this.head = head;
        this.theirs = theirs;
        this.yours = yours;
    }

    /** Returns the version on which the rejected edit is based. */
    public long base() {
        return base;
    }

    /** Returns the version that is accepted now. */
    public long head() {
        return head;
    }

    /** Returns the changes that others made since the base version. */
    public TablesDiff theirs() {
        return theirs;
    }

    /** Returns the changes of the rejected edit. */
    public TablesDiff yours() {
        return yours;
    }
}
