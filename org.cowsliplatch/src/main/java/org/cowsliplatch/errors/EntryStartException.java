package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** An entry instance could not start, or could not stop in an orderly way. */
public final class EntryStartException extends CowsliplatchException {
    /**
     * Creates an exception.
     *
     * @param what which part failed
     * @param cause the failure below, or null
     */
    public EntryStartException(String what, @Nullable Throwable cause) {
        super(what, cause);
    }
}
