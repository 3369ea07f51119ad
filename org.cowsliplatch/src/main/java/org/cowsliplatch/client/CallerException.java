package org.cowsliplatch.client;

import org.cowsliplatch.errors.CowsliplatchException;
import org.jspecify.annotations.Nullable;

/** Thrown when a request got no response; its outcome tells whether it was executed, as far as that is known. */
public final class CallerException extends CowsliplatchException {
    private final String outcome;

    /**
     * Creates an exception.
     *
     * @param outcome {@code not-run}, {@code unknown} or {@code failed}
     * @param detail what went wrong
     * @param cause underlying failure, or null
     */
    public CallerException(String outcome, String detail, @Nullable Throwable cause) {
        super(outcome + ": " + detail, cause);
        this.outcome = outcome;
    }

    /** Returns the outcome: {@code not-run}, {@code unknown} or {@code failed}. */
    public String outcome() {
        return outcome;
    }
}
