package org.cowsliplatch.internal.peer;

import org.cowsliplatch.errors.CowsliplatchException;
import org.jspecify.annotations.Nullable;

/** A frame of a peer can't be understood; its connection is closed. */
public final class MalformedFrameException extends CowsliplatchException {
    /**
     * Creates an exception.
     *
     * @param what what is wrong with the frame
     * @param cause failure below, or null
     */
    public MalformedFrameException(String what, @Nullable Throwable cause) {
        super(what, cause);
    }
}
