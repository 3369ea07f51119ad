package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** A platform service did not carry out an operation, and the operation had no effect. */
public final class PlatformUnavailableException extends PlatformException {
    /**
     * Creates an exception.
     *
     * @param service name of the platform service
     * @param what operation that failed, and how
     * @param cause underlying failure, or null
     */
    public PlatformUnavailableException(String service, String what, @Nullable Throwable cause) {
        super(service + " is unavailable: " + what, cause);
    }
}
