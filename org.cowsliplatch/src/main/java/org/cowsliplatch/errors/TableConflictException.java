package org.cowsliplatch.errors;

import org.cowsliplatch.table.TablesDiff;

/** Another edit was accepted first; nothing of this edit was applied. */
public final class TableConflictException extends TableException {
    private final long base;
    private final long head;
    private final transient TablesDiff theirs;
    private final transient TablesDiff yours;

    /**
     * Creates an exception.
     *
     * @param base the version the rejected edit was based on
     * @param head the version accepted meanwhile
     * @param theirs what changed between base and head
     * @param yours what the rejected edit would have changed against base
     */
    public TableConflictException(long base, long head, TablesDiff theirs, TablesDiff yours) {
        super("the tables are at version " + head + ", the edit was made on version " + base, null);
        this.base = base;
        this.head = head;
        this.theirs = theirs;
        this.yours = yours;
    }

    /** Returns the version the rejected edit was based on. */
    public long base() {
        return base;
    }

    /** Returns the version that is accepted now. */
    public long head() {
        return head;
    }

    /** Returns what others changed since the base version. */
    public TablesDiff theirs() {
        return theirs;
    }

    /** Returns what the rejected edit would have changed. */
    public TablesDiff yours() {
        return yours;
    }
}
