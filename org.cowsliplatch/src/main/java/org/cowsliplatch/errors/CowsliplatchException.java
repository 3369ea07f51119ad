package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** Base of all checked exceptions of this library; the message states what failed and where. */
public abstract class CowsliplatchException extends Exception {
    /**
     * Creates an exception.
     *
     * @param message what failed and where
     * @param cause failure of the layer below, or null
     */
    protected CowsliplatchException(String message, @Nullable Throwable cause) {
        super(message, cause);
    }

    /** Returns the message, which is never null. */
    public String text() {
        String message = getMessage();
        return message == null ? getClass().getSimpleName() : message;
    }
}
