package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** The outcome of a conditional write is unknown: it may or may not have taken effect. */
public final class WriteOutcomeUnknownException extends PlatformException {
    /**
     * Creates an exception.
     *
     * @param what write whose outcome is unknown, and how it failed
     * @param cause underlying failure, or null
     */
    public WriteOutcomeUnknownException(String what, @Nullable Throwable cause) {
        super("the outcome of a write is unknown, it may have taken effect: " + what, cause);
    }
}
