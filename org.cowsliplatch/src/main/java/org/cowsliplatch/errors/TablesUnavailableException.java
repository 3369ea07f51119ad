package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** The tables could not be read or written, and nothing was changed. */
public final class TablesUnavailableException extends TableException {
    /**
     * Creates an exception.
     *
     * @param what what failed
     * @param cause underlying failure, or null
     */
    public TablesUnavailableException(String what, @Nullable Throwable cause) {
        super(what, cause);
    }
}
