package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** The answer to a conditional write was lost: the write may or may not have taken effect. */
public final class WriteOutcomeUnknownException extends PlatformException {
    /**
     * Creates an exception.
     *
     * @param what the write whose outcome is not known
     * @param cause the failure below, or null
     */
    public WriteOutcomeUnknownException(String what, @Nullable Throwable cause) {
        super("the answer to this write was lost, it may have taken effect: " + what, cause);
    }
}
