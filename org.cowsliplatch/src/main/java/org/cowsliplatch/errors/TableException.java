package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** Base of all failures to read, parse, edit or distribute the tables. */
public abstract class TableException extends CowsliplatchException {
    /**
     * Creates an exception.
     *
     * @param message what failed and where
     * @param cause underlying failure, or null
     */
    protected TableException(String message, @Nullable Throwable cause) {
        super(message, cause);
    }
}
