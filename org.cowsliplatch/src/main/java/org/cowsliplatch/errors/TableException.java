package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** Base of the failures of the table layer. */
public abstract class TableException extends CowsliplatchException {
    /**
     * Creates an exception.
     *
     * @param message what failed and where
     * @param cause the failure below, or null
     */
    protected TableException(String message, @Nullable Throwable cause) {
        super(message, cause);
    }
}
