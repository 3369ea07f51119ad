package org.cowsliplatch.internal.peer;

import org.cowsliplatch.errors.CowsliplatchException;
import org.jspecify.annotations.Nullable;

/** Thrown when a frame from a peer cannot be decoded; the connection is closed. */
public final class MalformedFrameException extends CowsliplatchException {
    /**
     * Creates an exception.
     *
     * @param what what is wrong with the frame
     * @param cause underlying failure, or null
     */
    public MalformedFrameException(String what, @Nullable Throwable cause) {
        super(what, cause);
    }
}
