package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** It is not known yet whether an edit was accepted; asking again with the same edit id resolves it. */
public final class TableOutcomeUnknownException extends TableException {
    private final String editId;

    /**
     * Creates an exception.
     *
     * @param editId id of the edit
     * @param cause the failure below, or null
     */
    public TableOutcomeUnknownException(String editId, @Nullable Throwable cause) {
        super("not known yet whether edit " + editId + " was accepted; apply again with this edit id", cause);
        this.editId = editId;
    }

    /** Returns the id to ask with again. */
    public String editId() {
        return editId;
    }
}
