package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** A platform service did not carry out an operation, and the operation had no effect. */
public final class PlatformUnavailableException extends PlatformException {
    /**
     * Creates an exception.
     *
     * @param service the platform service that failed
     * @param what what was asked of it
     * @param cause the failure below, or null
     */
    public PlatformUnavailableException(String service, String what, @Nullable Throwable cause) {
        super(service + " is unavailable: " + what, cause);
    }
}
