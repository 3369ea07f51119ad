package org.cowsliplatch.errors;

import org.jspecify.annotations.Nullable;

/** Base of all failures of platform services: table service, object store, instance list, measurements. */
public abstract class PlatformException extends CowsliplatchException {
    /**
     * Creates an exception.
     *
     * @param message what failed and where
     * @param cause underlying failure, or null
     */
    protected PlatformException(String message, @Nullable Throwable cause) {
        super(message, cause);
    }
}
