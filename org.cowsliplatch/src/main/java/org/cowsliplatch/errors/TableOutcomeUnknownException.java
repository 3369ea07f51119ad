package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** It is unknown whether an edit was accepted; applying it again with the same edit id resolves this. */
public final class TableOutcomeUnknownException extends TableException {
    private final String editId;

    /**
     * Creates an exception.
     *
     * @param editId id of the edit
     * @param cause underlying failure, or null
     */
    public TableOutcomeUnknownException(String editId, @Nullable Throwable cause) {
        super("unknown whether edit " + editId + " was accepted; apply it again with the same edit id", cause);
        this.editId = editId;
    }

    /** Returns the edit id with which to apply the edit again. */
    public String editId() {
        return editId;
    }
}
