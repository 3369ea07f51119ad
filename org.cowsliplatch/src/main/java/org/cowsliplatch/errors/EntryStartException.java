package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** An entry instance could not start, or could not stop in an orderly way. */
public final class EntryStartException extends CowsliplatchException {
    /**
     * Creates an exception.
     *
     * @param what what failed
     * @param cause underlying failure, or null
     */
    public EntryStartException(String what, @Nullable Throwable cause) {
        super(what, cause);
    }
}
